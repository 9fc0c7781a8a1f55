//! The limiter's book of attempts that are out, for who compares it with what really is. Nothing is decided here.

use crate::decide::Limiter;

impl Limiter {
    /// Attempts that are out by this book: request, number of the attempt, server.
    pub fn open_attempts(&self) -> impl Iterator<Item = (&str, usize, &str)> {
        self.requests.iter().flat_map(|(id, request)| {
            let open = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.open);
            open.map(move |(at, attempt)| (id.as_str(), at, attempt.server.as_str()))
        })
    }

    /// Servers with attempts out, and how many by the count that the choice goes by.
    pub fn attempts_by_server(&self) -> impl Iterator<Item = (&str, usize)> {
        let out = self.servers.iter().filter(|(_, server)| server.out > 0.0);
        out.map(|(id, server)| (id.as_str(), server.out as usize))
    }

    /// Customers with attempts out, and how many by the count that caps on open attempts go by.
    pub fn attempts_by_customer(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        let out = self.accounts.iter().filter(|(_, account)| account.open > 0.0);
        out.map(|(customer, account)| (*customer, account.open as usize))
    }

    /// Customers that something is kept of.
    pub fn customer_count(&self) -> usize {
        self.accounts.len()
    }

    /// Puts the count of a server right.
    pub fn set_attempts_at_server(&mut self, server: &str, out: usize) {
        self.servers.get_mut(server).into_iter().for_each(|server| server.out = out as f64);
    }

    /// Puts the count of a customer right.
    pub fn set_attempts_of_customer(&mut self, customer: u64, out: usize) {
        self.accounts.get_mut(&customer).into_iter().for_each(|account| account.open = out as f64);
    }
}
