//! Conversion of the entities of a document to checked declarations.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use magnoliaspar_core::{Finding, Findings, PoolName, check_name};
use magnoliaspar_json::{Cursor, ROOT, child_path, closest};

use crate::{
    CompletionRoute, Declarations, Document, EntityId, EntityKind, KeyDigest, Pool, PoolKind,
    RepeatRule, Route, RouteLimits, RouteTarget, RouteWeights, ServiceRoute, WaitRule, Workspace,
};

/// Default limits of a route.
const DEFAULT_LIMITS: RouteLimits = RouteLimits {
    body_bytes: 1 << 20,
    header_bytes: 16 << 10,
    concurrency: 1_000,
    duration: Duration::from_secs(120),
    progress: Duration::from_secs(5),
};

/// Default target for the time to first token (TTFT) of a route.
const DEFAULT_TTFT_TARGET: Duration = Duration::from_millis(970);

/// Default target for the inter-token latency (ITL) of a route.
const DEFAULT_ITL_TARGET: Duration = Duration::from_millis(62);

/// Default expected number of output tokens of a route.
const DEFAULT_OUTPUT_TOKENS: u32 = 214;

/// Default share of a workspace.
const DEFAULT_SHARE: u32 = 1;

/// Default concurrency of a workspace.
const DEFAULT_CONCURRENCY: u32 = 100;

/// Default weights of a route.
const DEFAULT_WEIGHTS: RouteWeights = RouteWeights { wasted_prefill: 0.5, goodput: 0.5 };

/// Maximum difference of the sum of the weights from 1.
const WEIGHT_TOLERANCE: f64 = 1e-6;

/// Valid durations of limits and targets.
const DURATIONS: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(86_400);

/// Valid sizes of limits in bytes.
const SIZES: RangeInclusive<u64> = 1..=1 << 30;

/// Valid counts of limits and shares.
const COUNTS: RangeInclusive<u32> = 1..=1_000_000;

/// The number of hexadecimal digits of a key digest.
const DIGEST_DIGITS: usize = 64;

/// The path prefix that is reserved for completions.
const COMPLETIONS_PREFIX: &str = "/v1";

/// The names of pool kinds in declarations.
const POOL_KINDS: [(&str, PoolKind); 3] =
    [("prefill", PoolKind::Prefill), ("decode", PoolKind::Decode), ("service", PoolKind::Service)];

/// The names of wait rules in declarations.
const WAIT_RULES: [(&str, WaitRule); 2] =
    [("refuse_late", WaitRule::RefuseLate), ("may_wait", WaitRule::MayWait)];

/// The names of repeat rules in declarations.
const REPEAT_RULES: [(&str, RepeatRule); 3] = [
    ("lookup", RepeatRule::Lookup),
    ("idempotent", RepeatRule::Idempotent),
    ("at_most_once", RepeatRule::AtMostOnce),
];

/// Reads each entity on its own; entities with findings are left out.
pub(crate) fn read_entities(document: &Document, findings: &RefCell<Findings>) -> Declarations {
    let mut declarations = Declarations::default();
    // Identifiers are ordered, so pools are read before the routes that refer to them.
    for (id, value) in &document.entities {
        let Some(kind) = id.kind() else {
            let message = format!("{:?} is not a pool, route or workspace", id.0);
            findings.borrow_mut().push(Finding::at(ROOT, message));
            continue;
        };
        let cursor = Cursor::new(value, id.path(), findings);
        match kind {
            EntityKind::Pool => insert(&mut declarations.pools, id, &cursor, read_pool),
            EntityKind::Route => {
                let pools = Pools { document, checked: &declarations.pools };
                insert(&mut declarations.routes, id, &cursor, |cursor| read_route(cursor, &pools));
            }
            EntityKind::Workspace => {
                insert(&mut declarations.workspaces, id, &cursor, read_workspace);
            }
        }
    }
    declarations
}

/// The pools that routes may refer to.
struct Pools<'a> {
    /// The document with all entities.
    document: &'a Document,
    /// The pools that have no findings.
    checked: &'a BTreeMap<PoolName, Pool>,
}

impl Pools<'_> {
    /// Reads the name of a declared pool of kind `kind`.
    fn read(&self, cursor: &Cursor, kind: PoolKind) -> Option<PoolName> {
        let name: PoolName = cursor.parsed()?;
        if let Some(pool) = self.checked.get(&name) {
            if pool.kind == kind {
                return Some(name);
            }
            cursor.report(format!("the pool \"{name}\" is of kind {}, not {kind}", pool.kind));
            return None;
        }
        if self.document.entities.contains_key(&EntityId::new(EntityKind::Pool, name.as_str())) {
            // The pool is declared but invalid; its own findings have been reported.
            return None;
        }
        let message = format!("the pool \"{name}\" is not declared");
        match closest(name.as_str(), self.checked.keys().map(PoolName::as_str)) {
            Some(meant) => cursor.report_with_hint(message, format!("did you mean {meant:?}?")),
            None => cursor.report(message),
        }
        None
    }
}

fn insert<'a, N, T>(
    map: &mut BTreeMap<N, T>,
    id: &'a EntityId,
    cursor: &Cursor,
    read: impl Fn(&Cursor) -> Option<T>,
) where
    N: TryFrom<&'a str> + Ord,
    N::Error: std::fmt::Display,
{
    let value = read(cursor);
    // Commands and stored keys hold the names of all declared entities.
    if let Err(err) = check_name(id.name()) {
        cursor.report(err.to_string());
        return;
    }
    match (N::try_from(id.name()), value) {
        (Ok(name), Some(value)) => {
            map.insert(name, value);
        }
        (Err(err), _) => cursor.report(err.to_string()),
        (Ok(_), None) => {}
    }
}

fn read_pool(cursor: &Cursor) -> Option<Pool> {
    let object = cursor.object()?;
    let kind = object.required("kind").and_then(|field| field.one_of(&POOL_KINDS));
    let is_fencing = object.with_default("fencing", false, Cursor::boolean);
    object.finish();
    Some(Pool { kind: kind?, is_fencing: is_fencing? })
}

fn read_route(cursor: &Cursor, pools: &Pools) -> Option<Route> {
    let object = cursor.object()?;
    let completion = object.optional("completion");
    let service = object.optional("service");
    let limits = object.with_default("limits", DEFAULT_LIMITS, read_limits);
    object.finish();
    let target = match (completion, service) {
        (Some(completion), None) => {
            read_completion(&completion, pools).map(RouteTarget::Completion)
        }
        (None, Some(service)) => read_service(&service, pools).map(RouteTarget::Service),
        (Some(_), Some(_)) => {
            cursor.report("a route leads to a completion or a service, not to both");
            None
        }
        (None, None) => {
            cursor.report("the field \"completion\" or \"service\" is missing");
            None
        }
    };
    Some(Route { target: target?, limits: limits? })
}

fn read_completion(cursor: &Cursor, pools: &Pools) -> Option<CompletionRoute> {
    let object = cursor.object()?;
    let model = object.required("model").and_then(|field| field.parsed());
    let version = object.required("version").and_then(|field| field.non_empty_text());
    let adapters = object.with_default("adapters", [].into(), |field| {
        field.list(|adapter| Some(adapter.non_empty_text()?.into()))
    });
    let prefill_pool =
        object.required("prefill_pool").and_then(|field| pools.read(&field, PoolKind::Prefill));
    let decode_pool =
        object.required("decode_pool").and_then(|field| pools.read(&field, PoolKind::Decode));
    let weights = object.with_default("weights", DEFAULT_WEIGHTS, read_weights);
    let wait = object.with_default("wait", WaitRule::RefuseLate, |field| field.one_of(&WAIT_RULES));
    let ttft_target = object.with_default("ttft_target", DEFAULT_TTFT_TARGET, read_duration);
    let itl_target = object.with_default("itl_target", DEFAULT_ITL_TARGET, read_duration);
    let expected_output_tokens =
        object.with_default("expected_output_tokens", DEFAULT_OUTPUT_TOKENS, read_count);
    object.finish();
    Some(CompletionRoute {
        model: model?,
        version: version?.into(),
        adapters: adapters?,
        prefill_pool: prefill_pool?,
        decode_pool: decode_pool?,
        weights: weights?,
        wait: wait?,
        ttft_target: ttft_target?,
        itl_target: itl_target?,
        expected_output_tokens: expected_output_tokens?,
    })
}

/// Reads weights; a missing weight is 1 minus the other.
fn read_weights(cursor: &Cursor) -> Option<RouteWeights> {
    let object = cursor.object()?;
    let wasted_prefill = object.optional("wasted_prefill").map(|field| field.number(0.0..=1.0));
    let goodput = object.optional("goodput").map(|field| field.number(0.0..=1.0));
    object.finish();
    let (wasted_prefill, goodput) = match (wasted_prefill, goodput) {
        (Some(wasted_prefill), Some(goodput)) => (wasted_prefill?, goodput?),
        (Some(wasted_prefill), None) => (wasted_prefill?, 1.0 - wasted_prefill?),
        (None, Some(goodput)) => (1.0 - goodput?, goodput?),
        (None, None) => return Some(DEFAULT_WEIGHTS),
    };
    let sum = wasted_prefill + goodput;
    if (sum - 1.0).abs() > WEIGHT_TOLERANCE {
        cursor.report_with_hint(
            format!("the weights add up to {sum}, not to 1"),
            "a missing weight is 1 minus the other",
        );
        return None;
    }
    Some(RouteWeights { wasted_prefill, goodput })
}

fn read_service(cursor: &Cursor, pools: &Pools) -> Option<ServiceRoute> {
    let object = cursor.object()?;
    let prefix = object.required("prefix").and_then(|field| read_prefix(&field));
    let pool = object.required("pool").and_then(|field| pools.read(&field, PoolKind::Service));
    let repeat = object.required("repeat").and_then(|field| field.one_of(&REPEAT_RULES));
    object.finish();
    Some(ServiceRoute { prefix: prefix?, pool: pool?, repeat: repeat? })
}

fn read_prefix(cursor: &Cursor) -> Option<Box<str>> {
    let text = cursor.text()?;
    let Some(rest) = text.strip_prefix('/') else {
        cursor.report("a path prefix starts with '/'");
        return None;
    };
    for segment in rest.split('/') {
        if segment.is_empty() {
            cursor.report_with_hint(
                "the path prefix has an empty segment",
                "leave out the '/' at the end",
            );
            return None;
        }
        let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
        if !segment.bytes().all(is_plain) || matches!(segment, "." | "..") {
            cursor.report(format!("{segment:?} is not a plain path segment"));
            return None;
        }
    }
    if text == COMPLETIONS_PREFIX || text.starts_with("/v1/") {
        cursor.report(format!("the path {COMPLETIONS_PREFIX} is kept for completions"));
        return None;
    }
    Some(text.into())
}

fn read_limits(cursor: &Cursor) -> Option<RouteLimits> {
    let default = DEFAULT_LIMITS;
    let object = cursor.object()?;
    let body_bytes = object.with_default("body_bytes", default.body_bytes, read_size);
    let header_bytes = object.with_default("header_bytes", default.header_bytes, read_size);
    let concurrency = object.with_default("concurrency", default.concurrency, read_count);
    let duration = object.with_default("duration", default.duration, read_duration);
    let progress = object.with_default("progress", default.progress, read_duration);
    object.finish();
    let limits = RouteLimits {
        body_bytes: body_bytes?,
        header_bytes: header_bytes?,
        concurrency: concurrency?,
        duration: duration?,
        progress: progress?,
    };
    if limits.progress > limits.duration {
        cursor.report("\"progress\" is longer than \"duration\"");
        return None;
    }
    Some(limits)
}

fn read_workspace(cursor: &Cursor) -> Option<Workspace> {
    let object = cursor.object()?;
    let share = object.with_default("share", DEFAULT_SHARE, read_count);
    let concurrency = object.with_default("concurrency", DEFAULT_CONCURRENCY, read_count);
    let keys = object.with_default("key_digests", [].into(), |field| field.list(read_digest));
    object.finish();
    Some(Workspace { share: share?, concurrency: concurrency?, keys: keys? })
}

fn read_digest(cursor: &Cursor) -> Option<KeyDigest> {
    let Some(digest) = KeyDigest::from_hex(cursor.text()?) else {
        cursor.report_with_hint(
            format!("a key digest has {DIGEST_DIGITS} hexadecimal digits"),
            "give the SHA-256 digest of the key, not the key",
        );
        return None;
    };
    Some(digest)
}

fn read_duration(cursor: &Cursor) -> Option<Duration> {
    cursor.duration(DURATIONS)
}

fn read_size(cursor: &Cursor) -> Option<usize> {
    usize::try_from(cursor.integer(SIZES)?).ok()
}

fn read_count(cursor: &Cursor) -> Option<u32> {
    cursor.integer_u32(COUNTS)
}

/// Returns the path of the field that `names` lead to within the entity `id`.
pub(crate) fn field_path(id: &EntityId, names: &[&str]) -> Box<str> {
    let mut path = id.path();
    for name in names {
        path = child_path(&path, name);
    }
    path
}
