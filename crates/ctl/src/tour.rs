//! A call made until somebody takes or refuses it: redirects followed, the next address after a failure.

use crate::wire::{self, Answer, CallError, Request};
use quick_error::quick_error;
use std::time::{Duration, Instant};

/// Redirects followed for one address.
const MOST_REDIRECTS: usize = 2;
/// Times that a 4xx without a meaning of its own is heard before it counts.
const MOST_OTHER_4XX: usize = 3;
/// First pause after a failure, and the longest.
const PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(2)];

quick_error! {
    /// Why an order wasn't carried out.
    #[derive(Debug)]
    pub enum Failure {
        /// The order, and the answer that ends it.
        Refused(order: String, answer: Answer) {
            display("{}: {} answers {}: {}", order, answer.by, answer.status, answer.text())
        }
        /// The order, the last address, and what it said: time is up.
        Spent(order: String, peer: Option<String>, last: String) {
            display("{}: time is up; last: {}", order, last)
        }
    }
}

/// Where and how long to call.
#[derive(Debug, Clone)]
pub struct Tour {
    /// Addresses, `HOST:PORT`, at least one.
    pub addresses: Vec<String>,
    /// Time without a byte after which an address is given up.
    pub silence: Duration,
    /// End of the whole order.
    pub deadline: Instant,
}

impl Tour {
    /// Makes a call, unchanged each time, until a 2xx or a refusal comes or time is up.
    pub fn call(&self, request: &Request) -> Result<Answer, Failure> {
        let order = format!("{} {}", request.method, request.path);
        let mut pause = PAUSES[0];
        let mut other_4xx = 0;
        let mut turn = self.addresses.iter().cycle();
        loop {
            let Some(address) = turn.next() else {
                return Err(Failure::Spent(order, None, "no address".into()));
            };
            let last = match self.follow(address, request) {
                Ok(answer) => match answer.status {
                    200..=299 => return Ok(answer),
                    400 | 409 | 412 | 413 | 422 => return Err(Failure::Refused(order, answer)),
                    408 | 429 => said(&answer),
                    401..=499 => {
                        other_4xx += 1;
                        if other_4xx >= MOST_OTHER_4XX {
                            return Err(Failure::Refused(order, answer));
                        }
                        said(&answer)
                    }
                    _ => said(&answer),
                },
                Err(error) => error.to_string(),
            };
            if Instant::now() + pause >= self.deadline {
                return Err(Failure::Spent(order, Some(address.clone()), last));
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(PAUSES[1]);
        }
    }

    /// Makes a call once, to this address and where its redirects lead.
    pub fn follow(&self, address: &str, request: &Request) -> Result<Answer, CallError> {
        let (mut to, mut path) = (address.to_string(), request.path.clone());
        let mut redirects = 0;
        loop {
            let answer = wire::call(&to, &path, request, self.silence, self.deadline)?;
            let next = answer.header("location").filter(|_| matches!(answer.status, 307 | 308));
            match next.and_then(target) {
                Some((host, there)) if redirects < MOST_REDIRECTS => {
                    redirects += 1;
                    to = host.map_or(to, str::to_string);
                    path = there.to_string();
                }
                _ => return Ok(answer),
            }
        }
    }
}

fn said(answer: &Answer) -> String {
    format!("{} answers {}: {}", answer.by, answer.status, answer.text())
}

/// Host and path of a `Location`; without a host it is the same one.
fn target(location: &str) -> Option<(Option<&str>, &str)> {
    if location.starts_with('/') {
        return Some((None, location));
    }
    let rest = location.strip_prefix("http://")?;
    let at = rest.find('/').unwrap_or(rest.len());
    let (host, path) = rest.split_at(at);
    (!host.is_empty()).then_some((Some(host), if path.is_empty() { "/" } else { path }))
}

#[cfg(test)]
mod tests {
    use super::target;

    #[test]
    fn targets_of_redirects() {
        assert_eq!(target("http://10.0.0.4:8080/-/config"), Some((Some("10.0.0.4:8080"), "/-/config")));
        assert_eq!(target("http://10.0.0.4:8080"), Some((Some("10.0.0.4:8080"), "/")));
        assert_eq!(target("/-/config"), Some((None, "/-/config")));
        assert_eq!(target("https://10.0.0.4/"), None);
        assert_eq!(target("http:///x"), None);
    }
}
