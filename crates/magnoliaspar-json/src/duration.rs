//! Parsing and formatting of durations.

use std::time::Duration;

use displaydoc::Display;

/// The units of durations with their length in milliseconds, in descending order.
const UNITS: [(&str, u64); 5] =
    [("d", 86_400_000), ("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// The reason why a text is not a valid duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum DurationError {
    /// a duration is a whole number and a unit, such as "970ms", "30s", "5m", "2h" or "1d"
    Malformed,
    /// the duration is too long
    TooLong,
}

impl std::error::Error for DurationError {}

/// Parses a duration: a whole number and one of the units `ms`, `s`, `m`, `h` and `d`.
pub fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    if number.is_empty() {
        return Err(DurationError::Malformed);
    }
    for (name, millis) in UNITS {
        if name != unit {
            continue;
        }
        let number: u64 = number.parse().map_err(|_| DurationError::TooLong)?;
        let total = number.checked_mul(millis).ok_or(DurationError::TooLong)?;
        return Ok(Duration::from_millis(total));
    }
    Err(DurationError::Malformed)
}

/// Formats a duration in the largest unit that is exact to the millisecond.
pub fn format_duration(duration: Duration) -> Box<str> {
    let total = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    for (name, millis) in UNITS {
        if total > 0 && total.is_multiple_of(millis) {
            return format!("{}{name}", total / millis).into();
        }
    }
    "0s".into()
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::{DurationError, format_duration, parse_duration};

    #[test]
    fn durations_are_parsed_and_formatted() {
        for (text, millis) in [("970ms", 970), ("30s", 30_000), ("90m", 5_400_000), ("0s", 0)] {
            let duration = Duration::from_millis(millis);
            assert_eq!(parse_duration(text), Ok(duration));
            assert_eq!(&*format_duration(duration), text);
        }
    }

    #[test]
    fn other_texts_are_not_durations() {
        for text in ["", "s", "30", "1.5s", "-1s", "3 s", "3sec"] {
            assert_eq!(parse_duration(text), Err(DurationError::Malformed), "{text:?}");
        }
        assert_eq!(parse_duration("18446744073709551615s"), Err(DurationError::TooLong));
    }
}
