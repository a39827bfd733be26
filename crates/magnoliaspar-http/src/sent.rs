use std::io::ErrorKind;

use awc::error::{ConnectError, SendRequestError};

/// Whether a call was certainly never sent, since no connection could be opened.
///
/// The client reports a connection that ends before the answer as a connect error too; such a call
/// may have taken effect.
pub fn is_never_sent(error: &SendRequestError) -> bool {
    let SendRequestError::Connect(error) = error else { return false };
    match error {
        ConnectError::Timeout | ConnectError::NoRecords | ConnectError::Unresolved => true,
        ConnectError::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}
