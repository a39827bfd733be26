use std::io::ErrorKind;

use awc::error::{ConnectError, SendRequestError};

/// Returns true if a call was certainly never sent, because no connection could be opened.
///
/// Other connect errors do not count: the HTTP client also reports a connection that closes before
/// the answer as a connect error, and such a call may have taken effect.
pub fn is_never_sent(error: &SendRequestError) -> bool {
    let SendRequestError::Connect(error) = error else { return false };
    match error {
        ConnectError::Timeout | ConnectError::NoRecords | ConnectError::Unresolved => true,
        ConnectError::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}
