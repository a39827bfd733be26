use actix_http::Request;
use magnoliaspar_configuration::Acceptance;
use magnoliaspar_event::Stamp;
use magnoliaspar_query::Winner;
use magnoliaspar_query::api::{ApplyRequest, ApplyResponse, ErrorCode, ErrorResponse};

use super::body::read_json;
use crate::instance::Instance;

/// Proposes a change of the declarations.
pub async fn apply(
    instance: &Instance,
    operator: &str,
    req: Request,
) -> Result<ApplyResponse, ErrorResponse> {
    let change: ApplyRequest = read_json(req).await?;
    let acceptance =
        instance.cluster.propose(change.expected_version, change.delta, operator).await;
    match acceptance {
        Acceptance::Accepted { version } => Ok(ApplyResponse::Accepted { version }),
        Acceptance::Conflict { winner, version, at } => {
            let operator = Some(winner);
            let stamp = Some(Stamp::at(at));
            let winner = Winner { version, operator, command: None, stamp };
            Ok(ApplyResponse::Conflict { winner })
        }
        Acceptance::Refused(findings) => Ok(ApplyResponse::Refused { findings }),
        Acceptance::Unavailable(message) => {
            Err(ErrorResponse::new(ErrorCode::StoreUnavailable, message))
        }
        Acceptance::Unknown => {
            let message = "the platform gave no answer, and the change may be accepted";
            Err(ErrorResponse::new(ErrorCode::StoreUnavailable, message))
        }
    }
}
