//! Reading figures and lists as people write them: `2.0` where a whole number is wanted, `null` for nothing.

use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use std::fmt;

/// `null` counts as absent.
pub fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(from: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(from)?.unwrap_or_default())
}

/// A whole number, written `2` or `2.0`.
struct Whole(u64);

impl<'de> Deserialize<'de> for Whole {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Whole, D::Error> {
        struct Reader;
        impl Visitor<'_> for Reader {
            type Value = Whole;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a whole number, 0 or more")
            }
            fn visit_u64<E: Error>(self, value: u64) -> Result<Whole, E> {
                Ok(Whole(value))
            }
            fn visit_i64<E: Error>(self, value: i64) -> Result<Whole, E> {
                let value = u64::try_from(value);
                value.map(Whole).map_err(|_| E::invalid_value(Unexpected::Other("a negative number"), &self))
            }
            fn visit_f64<E: Error>(self, value: f64) -> Result<Whole, E> {
                // Above 2^53 a float no longer tells whole numbers apart.
                if value.fract() == 0.0 && (0.0..=9_007_199_254_740_992.0).contains(&value) {
                    return Ok(Whole(value as u64));
                }
                Err(E::invalid_value(Unexpected::Float(value), &self))
            }
        }
        from.deserialize_any(Reader)
    }
}

/// A whole number up to `u64::MAX`, written `2` or `2.0`.
pub fn whole<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    Ok(Whole::deserialize(from)?.0)
}

/// The same where it may be absent.
pub fn whole_or_none<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u64>, D::Error> {
    Ok(Option::<Whole>::deserialize(from)?.map(|whole| whole.0))
}

/// Of small range: what is larger counts as the largest.
pub fn small_or_none<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u32>, D::Error> {
    Ok(whole_or_none(from)?.map(|whole| u32::try_from(whole).unwrap_or(u32::MAX)))
}

/// Of small range, rounded down where a fraction is written: for sizes of a machine.
pub fn rounded_down<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    // A cast from float saturates; NaN becomes 0, which no check takes for a size.
    Ok(f64::deserialize(from)? as u32)
}
