//! The limiter's counts of attempts in flight, for a caller that compares them with the real ones. Nothing is decided
//! here.

use crate::decide::Limiter;

impl Limiter {
    /// Attempts in flight: request, number of the attempt, server.
    pub fn open_attempts(&self) -> impl Iterator<Item = (&str, usize, &str)> {
        self.requests.iter().flat_map(|(id, request)| {
            let open = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.open);
            open.map(move |(number, attempt)| (id.as_str(), number, attempt.server.as_str()))
        })
    }

    /// Servers with attempts in flight, and the number that the choice of a server uses.
    pub fn attempts_by_server(&self) -> impl Iterator<Item = (&str, usize)> {
        let busy = self.servers.iter().filter(|(_, server)| server.in_flight > 0.0);
        busy.map(|(id, server)| (id.as_str(), server.in_flight as usize))
    }

    /// Customers with attempts in flight, and the number that the cap on concurrent attempts uses.
    pub fn attempts_by_customer(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        let busy = self.accounts.iter().filter(|(_, account)| account.in_flight > 0.0);
        busy.map(|(customer, account)| (*customer, account.in_flight as usize))
    }

    /// Number of customers that the limiter keeps state of.
    pub fn customer_count(&self) -> usize {
        self.accounts.len()
    }

    /// Number of requests that have attempts in flight or no final answer yet.
    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Corrects the number of attempts in flight at a server.
    pub fn set_attempts_at_server(&mut self, server: &str, count: usize) {
        self.servers.get_mut(server).into_iter().for_each(|server| server.in_flight = count as f64);
    }

    /// Corrects the number of attempts in flight for a customer.
    pub fn set_attempts_of_customer(&mut self, customer: u64, count: usize) {
        self.accounts.get_mut(&customer).into_iter().for_each(|account| account.in_flight = count as f64);
    }
}
