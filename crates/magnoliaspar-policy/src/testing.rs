//! Server specifications for the unit tests of this crate.

use magnoliaspar_core::{ServerName, ZoneName};

use crate::{Role, ServerSpec};

/// Returns a prefill engine that processes 10,000 tokens per second.
pub(crate) fn prefill_spec(name: &str) -> ServerSpec {
    ServerSpec {
        name: ServerName::try_from(name).expect("the name is valid"),
        zone: ZoneName::try_from("a").expect("the name is valid"),
        role: Role::Prefill,
        slots: 4,
        memory_pieces: 2_000,
        piece_tokens: 64,
        prefill_tokens_per_second: 10_000.0,
        link_tokens_per_second: 40_000.0,
        seconds_per_token: 0.0,
        hold_seconds: 0.8,
    }
}

/// Returns a decode engine with 20 slots that takes 20 ms per token.
pub(crate) fn decode_spec(name: &str) -> ServerSpec {
    ServerSpec {
        role: Role::Decode,
        slots: 20,
        prefill_tokens_per_second: 0.0,
        seconds_per_token: 0.02,
        hold_seconds: 0.0,
        ..prefill_spec(name)
    }
}
