//! Header lines of a message.

use crate::error::HttpError;
use bytes::Bytes;

/// Header lines that speak of one connection, or of a framing that each hop writes anew.
pub(crate) const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Further lines that the gateway writes itself towards regions.
const OWN_LINES: [&str; 3] = ["host", "request-timeout", "not-started"];

/// The header lines of a message: spans of the bytes of its head.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Headers {
    head: Bytes,
    spans: Vec<[u16; 4]>,
}

impl Headers {
    /// The lines as httparse found them in `head`.
    pub(crate) fn of(head: Bytes, parsed: &[httparse::Header<'_>]) -> Headers {
        let base = head.as_ptr() as usize;
        let span = |text: &[u8]| {
            let from = (text.as_ptr() as usize).wrapping_sub(base);
            (from as u16, (from + text.len()) as u16)
        };
        let spans = parsed.iter().filter(|header| !header.name.is_empty()).map(|header| {
            let ((a, b), (c, d)) = (span(header.name.as_bytes()), span(header.value));
            // An empty value may point outside of the head.
            if header.value.is_empty() {
                [a, b, b, b]
            } else {
                [a, b, c, d]
            }
        });
        let spans = spans.collect();
        Headers { head, spans }
    }

    /// All values under a name, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        let part = |from: u16, to: u16| &self.head[from as usize..to as usize];
        let named = self.spans.iter().filter(move |s| part(s[0], s[1]).eq_ignore_ascii_case(name.as_bytes()));
        named.filter_map(move |s| std::str::from_utf8(part(s[2], s[3])).ok().map(str::trim))
    }

    /// All lines in order, with their values as they came.
    pub fn lines(&self) -> impl Iterator<Item = (&str, &[u8])> + '_ {
        let part = |from: u16, to: u16| &self.head[from as usize..to as usize];
        let line = move |s: &[u16; 4]| Some((std::str::from_utf8(part(s[0], s[1])).ok()?, part(s[2], s[3])));
        self.spans.iter().filter_map(line)
    }

    /// The first value under a name.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name).next()
    }

    /// The lines that go on to the next hop: all but those that speak of this connection, or that the
    /// gateway writes itself.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> + '_ {
        let part = |from: u16, to: u16| &self.head[from as usize..to as usize];
        self.spans.iter().filter_map(move |s| {
            let name = std::str::from_utf8(part(s[0], s[1])).ok()?;
            let own = HOP_BY_HOP.iter().chain(&OWN_LINES).any(|line| name.eq_ignore_ascii_case(line));
            (!own && !self.has_token("connection", name)).then(|| (name, part(s[2], s[3])))
        })
    }

    /// All values under a name; the error: one of them is no text, and readers would differ on it.
    pub(crate) fn strict<'a>(&'a self, name: &'static str) -> Result<Vec<&'a str>, HttpError> {
        let lines = self
            .spans
            .iter()
            .filter(|s| self.head[s[0] as usize..s[1] as usize].eq_ignore_ascii_case(name.as_bytes()));
        let values = lines.map(|s| std::str::from_utf8(&self.head[s[2] as usize..s[3] as usize]));
        values.map(|value| value.map(str::trim).map_err(|_| HttpError::Malformed(name))).collect()
    }

    /// One of the lists under a name has this token.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|value| value.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}
