//! Calls on one kept connection, without I/O: which answer belongs to which call, and whether the next call may use it.
//!
//! A call carries its number on its connection, and the peer names it in the answer. An answer to an earlier call, late
//! or doubled, is then never taken for one to the present call: it would renew a lease from the wrong moment, or book
//! units of another call. A peer of an older version names none on any of its answers; it is believed.

/// The header line that numbers a call, and names it in its answer.
pub const CALL_ID: &str = "Call-Id";
/// Longest number that is named back.
const MOST_DIGITS: usize = 20;

/// The calls of one connection, one at a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    number: u64,
    /// The peer names the calls that it answers.
    named: bool,
}

impl Calls {
    /// The number of the next call.
    pub fn begin(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Is this the answer to the present call? `named`: the call that it names. `refusal`: it is a failure that ends the
    /// connection, which a peer says of what it could not read, so not even the number.
    pub fn belongs(&mut self, named: Option<&str>, refusal: bool) -> bool {
        match named {
            Some(named) => {
                self.named = true;
                named.parse() == Ok(self.number)
            }
            None => refusal || !self.named,
        }
    }

    /// The connection may carry another call: its peer keeps it, has had all of this one, and has sent nothing more.
    pub fn reusable(&self, keep_alive: bool, sent_whole: bool, nothing_left: bool) -> bool {
        keep_alive && sent_whole && nothing_left
    }
}

/// The number of a call as it is named back; `None`: it is none of ours.
pub fn number(text: Option<&str>) -> Option<&str> {
    let plain = |text: &&str| !text.is_empty() && text.len() <= MOST_DIGITS;
    text.filter(plain).filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
}
