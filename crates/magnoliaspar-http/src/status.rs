use actix_http::StatusCode;

/// Highest status of HTTP (RFC 9110, section 15). The codec takes any of three digits from 100 on.
const MAX_STATUS: u16 = 599;

/// Returns whether HTTP has a status, also one that nobody has assigned. A response with another one is invalid.
pub fn is_valid_status(status: StatusCode) -> bool {
    status.as_u16() <= MAX_STATUS
}
