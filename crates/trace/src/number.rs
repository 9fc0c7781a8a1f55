//! Numbers and texts in bytes. Reading never panics and never takes more than there is.

/// Longest text, bytes: request ids have 128, settings some thousand.
pub const MOST_TEXT: usize = 256 * 1024;

/// Appends numbers and texts.
pub trait Put {
    /// A whole number in groups of seven bits, low ones first; the high bit says that more follow.
    fn whole(&mut self, number: u64);
    /// A signed number: zigzag, then as [`Put::whole`].
    fn signed(&mut self, number: i64);
    /// Any number, exactly: short where it is a multiple of 1, 1/1024 or 1/1000, else its eight bytes.
    fn real(&mut self, number: f64);
    /// A text: its length, then its bytes.
    fn text(&mut self, text: &str);
}

impl Put for Vec<u8> {
    fn whole(&mut self, mut number: u64) {
        while number >= 0x80 {
            self.push(number as u8 | 0x80);
            number >>= 7;
        }
        self.push(number as u8);
    }

    fn signed(&mut self, number: i64) {
        self.whole(((number << 1) ^ (number >> 63)) as u64);
    }

    fn real(&mut self, number: f64) {
        // The low two bits tell the scale; the zigzag number above them must come back to the very same bits.
        for (kind, scale) in [(0u64, 1.0), (1, 1024.0), (2, 1000.0)] {
            let scaled = number * scale;
            if scaled.abs() < 1e15 {
                let rounded = scaled.round();
                // A zero below zero has no whole number of its own.
                if (rounded / scale).to_bits() == number.to_bits()
                    && !(number == 0.0 && number.is_sign_negative())
                {
                    let whole = rounded as i64;
                    return self.whole(((((whole << 1) ^ (whole >> 63)) as u64) << 2) | kind);
                }
            }
        }
        self.push(3);
        self.extend_from_slice(&number.to_le_bytes());
    }

    fn text(&mut self, text: &str) {
        self.whole(text.len() as u64);
        self.extend_from_slice(text.as_bytes());
    }
}

/// Reads what [`Put`] wrote; `None` where it ends too early or makes no sense.
#[derive(Debug, Clone)]
pub struct Take<'a>(pub &'a [u8]);

impl<'a> Take<'a> {
    /// One byte.
    pub fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    /// So many bytes.
    pub fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        if count > self.0.len() {
            return None;
        }
        let (part, rest) = self.0.split_at(count);
        self.0 = rest;
        Some(part)
    }

    /// A whole number.
    pub fn whole(&mut self) -> Option<u64> {
        let mut number = 0u64;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            let part = u64::from(byte & 0x7f);
            if shift == 63 && part > 1 {
                return None;
            }
            number |= part << shift;
            if byte < 0x80 {
                return Some(number);
            }
        }
        None
    }

    /// A whole number that counts things of which each takes at least a byte: never more than what is left.
    pub fn count(&mut self) -> Option<usize> {
        let count = self.whole()?;
        (count <= self.0.len() as u64).then_some(count as usize)
    }

    /// A signed number.
    pub fn signed(&mut self) -> Option<i64> {
        let number = self.whole()?;
        Some((number >> 1) as i64 ^ -((number & 1) as i64))
    }

    /// Any number.
    pub fn real(&mut self) -> Option<f64> {
        let number = self.whole()?;
        let scale = match number & 3 {
            0 => 1.0,
            1 => 1024.0,
            2 => 1000.0,
            _ if number == 3 => {
                let bytes: [u8; 8] = self.bytes(8)?.try_into().ok()?;
                return Some(f64::from_le_bytes(bytes));
            }
            _ => return None,
        };
        let zigzag = number >> 2;
        let whole = (zigzag >> 1) as i64 ^ -((zigzag & 1) as i64);
        Some(whole as f64 / scale)
    }

    /// A text.
    pub fn text(&mut self) -> Option<&'a str> {
        let length = self.whole()?;
        if length > MOST_TEXT as u64 {
            return None;
        }
        std::str::from_utf8(self.bytes(length as usize)?).ok()
    }

    /// Nothing is left.
    pub fn done(&self) -> bool {
        self.0.is_empty()
    }
}
