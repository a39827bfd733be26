//! Authentication and rights of operators.

use actix_http::{HttpMessage, Request};
use magnoliaspar_event::Listener;
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use magnoliaspar_settings::{OperatorKey, OperatorRights};

use crate::instance::Instance;

/// Finds the operator by the bearer key of a request.
pub fn find_operator<'a>(
    instance: &'a Instance,
    req: &Request,
) -> Result<&'a OperatorKey, ErrorResponse> {
    let header = req.headers().get("authorization").and_then(|value| value.to_str().ok());
    let key = header.and_then(|header| header.strip_prefix("Bearer "));
    let operator = key.and_then(|key| operator_of_key(instance, key));
    operator.ok_or_else(|| {
        record_failure(instance, ErrorCode::Unauthenticated);
        let message = "the authorization header must hold the bearer key of an operator";
        ErrorResponse::new(ErrorCode::Unauthenticated, message)
    })
}

/// Refuses an operator whose key does not give the needed rights.
pub fn check_rights(
    instance: &Instance,
    operator: &OperatorKey,
    needed: OperatorRights,
) -> Result<(), ErrorResponse> {
    if operator.rights >= needed {
        return Ok(());
    }
    record_failure(instance, ErrorCode::Forbidden);
    let message = "the key permits reading only";
    Err(ErrorResponse::new(ErrorCode::Forbidden, message))
}

fn operator_of_key<'a>(instance: &'a Instance, key: &str) -> Option<&'a OperatorKey> {
    instance.settings.operator_keys.iter().find(|operator| operator.key.matches(key))
}

fn record_failure(instance: &Instance, code: ErrorCode) {
    instance.record_auth_failure(Listener::Operators, code.as_status());
}
