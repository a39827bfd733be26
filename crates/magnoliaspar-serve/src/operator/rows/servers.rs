//! The rows of the backend servers.

use std::collections::{BTreeMap, BTreeSet};

use magnoliaspar_core::ServerName;
use magnoliaspar_membership::{MemberId, MemberState};
use magnoliaspar_policy::{Role, ServerUsage};
use magnoliaspar_query::{Answer, Cell, Subject};

use crate::directory::KnownServer;
use crate::instance::Instance;
use crate::operator::drain::ServerDrain;
use crate::run::EngineState;

/// Index of the column with the name of the server.
const SERVER_COLUMN: usize = 0;

/// Index of the column with the version that commands may expect.
const VERSION_COLUMN: usize = 5;

/// Index of the column with the home instance, which schedules the server.
const HOME_COLUMN: usize = 6;

/// Returns the servers of the own availability zone, with the load of those that this instance
/// schedules.
pub fn own(instance: &Instance) -> Answer {
    let mut answer = Answer::new(&Subject::Servers);
    let states = own_engine_states(instance);
    for server in instance.directory.all() {
        let state = states.get(&server.name);
        answer.push(row(instance, &server, state));
    }
    answer
}

/// Adds the version of the latest drain command of each server, or 0 if it had none.
pub fn add_versions(answer: &mut Answer, drains: &BTreeMap<ServerName, ServerDrain>) {
    for row in &mut answer.rows {
        let name = ServerName::try_from(&*row[SERVER_COLUMN].to_string());
        let drain = name.ok().and_then(|name| drains.get(&name));
        row[VERSION_COLUMN] = drain.map_or(0, |drain| drain.set_by.version).into();
    }
}

/// Keeps one row for each server, and prefers the row of its home instance.
pub fn deduplicate(answer: &mut Answer) {
    let mut with_home = BTreeSet::new();
    for row in &answer.rows {
        if row[HOME_COLUMN] != Cell::Empty {
            with_home.insert(row[SERVER_COLUMN].to_string());
        }
    }
    let mut seen = BTreeSet::new();
    answer.rows.retain(|row| {
        let name = row[SERVER_COLUMN].to_string();
        // If two instances both claim to be the home of a server, both rows are kept.
        row[HOME_COLUMN] != Cell::Empty || (!with_home.contains(&name) && seen.insert(name))
    });
    answer.rows.sort_by_key(|row| row[SERVER_COLUMN].to_string());
}

/// Returns the states of the engines whose home is this instance.
fn own_engine_states(instance: &Instance) -> BTreeMap<ServerName, EngineState> {
    let mut states = BTreeMap::new();
    for (shard, dispatcher) in instance.home.dispatchers() {
        if !instance.home_chooser.is_home_of(&shard) {
            continue;
        }
        for state in dispatcher.engine_states() {
            states.insert(state.name.clone(), state);
        }
    }
    states
}

fn row(instance: &Instance, server: &KnownServer, engine: Option<&EngineState>) -> Vec<Cell> {
    let home = engine.map(|_| instance.settings.instance.as_str());
    let load = engine.map(EngineLoad::of).unwrap_or_default();
    let now = instance.clock.now();
    let reported_at = engine.and_then(|engine| engine.reported_at);
    vec![
        server.name.as_str().into(),
        server.pool.as_str().into(),
        instance.settings.zone.as_str().into(),
        state(instance, server).into(),
        server.incarnation.0.into(),
        Cell::Empty,
        home.into(),
        model(instance, server).map_or(Cell::Empty, Cell::Text),
        load.slots_used.into(),
        load.slots.into(),
        load.pieces_used.into(),
        load.pieces.into(),
        load.queue.into(),
        reported_at.map(|at| now.saturating_duration_since(at)).into(),
    ]
}

fn state(instance: &Instance, server: &KnownServer) -> &'static str {
    let membership = instance.cluster.membership.borrow();
    let member = membership.member(&MemberId::Server(server.name.clone()));
    let Some(member) = member else { return "unknown" };
    match member.state() {
        MemberState::Live => "live",
        MemberState::Suspect => "suspected",
        MemberState::Leaving if member.standing.is_drained() => "draining",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

/// Returns the model that the active routes assign to the server's pool, if it is exactly one.
fn model(instance: &Instance, server: &KnownServer) -> Option<Box<str>> {
    let active_configuration = instance.active_configuration()?;
    let mut models = BTreeSet::new();
    for route in active_configuration.declarations.routes.values() {
        let magnoliaspar_declaration::RouteTarget::Completion(route) = &route.target else {
            continue;
        };
        if route.prefill_pool == server.pool || route.decode_pool == server.pool {
            models.insert(route.model.as_str());
        }
    }
    match models.len() {
        1 => models.first().map(|model| Box::from(*model)),
        _ => None,
    }
}

/// The load of an engine as the columns of the answer show it.
#[derive(Debug, Default)]
struct EngineLoad {
    slots_used: Option<u64>,
    slots: Option<u64>,
    pieces_used: Option<u64>,
    pieces: Option<u64>,
    queue: Option<u64>,
}

impl EngineLoad {
    fn of(engine: &EngineState) -> Self {
        let usage = engine.usage;
        let is_prefill = engine.spec.role == Role::Prefill;
        let slots_used = |usage: ServerUsage| match is_prefill {
            true => usage.prefills,
            false => usage.running + usage.external,
        };
        let pieces_used = |usage: ServerUsage| match is_prefill {
            true => usage.prefill_pieces,
            false => usage.running_pieces + usage.reserved_pieces,
        };
        let queue = |usage: ServerUsage| match is_prefill {
            true => usage.transfers,
            false => usage.reserved,
        };
        Self {
            slots_used: usage.map(|usage| slots_used(usage).into()),
            slots: Some(engine.spec.slots.into()),
            pieces_used: usage.map(|usage| pieces_used(usage).into()),
            pieces: Some(engine.spec.memory_pieces.into()),
            queue: usage.map(|usage| queue(usage).into()),
        }
    }
}
