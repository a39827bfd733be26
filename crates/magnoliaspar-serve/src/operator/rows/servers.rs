use std::collections::{BTreeMap, BTreeSet};

use magnoliaspar_core::ServerName;
use magnoliaspar_membership::{MemberId, MemberState};
use magnoliaspar_policy::{Role, ServerUsage};
use magnoliaspar_query::{Answer, Cell, Subject};

use crate::directory::KnownServer;
use crate::instance::Instance;
use crate::operator::drain::ServerDrain;
use crate::run::EngineState;

/// The column of the server's name.
const SERVER: usize = 0;

/// The column of the version that commands may name.
const VERSION: usize = 5;

/// The column of the instance that keeps the books.
const HOME: usize = 6;

/// Returns the servers of the own availability zone, with the books of those that have them here.
pub fn own(instance: &Instance) -> Answer {
    let mut answer = Answer::new(&Subject::Servers);
    let books = own_books(instance);
    for server in instance.directory.all() {
        let books = books.get(&server.name);
        answer.push(row(instance, &server, books));
    }
    answer
}

/// Adds the version of the latest command about each server; 0 if there was none.
pub fn add_versions(answer: &mut Answer, drains: &BTreeMap<ServerName, ServerDrain>) {
    for row in &mut answer.rows {
        let name = ServerName::try_from(&*row[SERVER].to_string());
        let drain = name.ok().and_then(|name| drains.get(&name));
        row[VERSION] = drain.map_or(0, |drain| drain.made_by.version).into();
    }
}

/// Keeps one row for each server, and prefers the instance that is its home.
pub fn keep_best(answer: &mut Answer) {
    let mut homed = BTreeSet::new();
    for row in &answer.rows {
        if row[HOME] != Cell::Empty {
            homed.insert(row[SERVER].to_string());
        }
    }
    let mut seen = BTreeSet::new();
    answer.rows.retain(|row| {
        let name = row[SERVER].to_string();
        // Two instances that both keep books for a server are both shown.
        row[HOME] != Cell::Empty || (!homed.contains(&name) && seen.insert(name))
    });
    answer.rows.sort_by_key(|row| row[SERVER].to_string());
}

fn own_books(instance: &Instance) -> BTreeMap<ServerName, EngineState> {
    let mut all = BTreeMap::new();
    for (shard, dispatcher) in instance.home.dispatchers() {
        if !instance.zone_homes.is_home_of(&shard) {
            continue;
        }
        for books in dispatcher.engine_states() {
            all.insert(books.name.clone(), books);
        }
    }
    all
}

fn row(instance: &Instance, server: &KnownServer, books: Option<&EngineState>) -> Vec<Cell> {
    let home = books.map(|_| instance.settings.instance.as_str());
    let load = books.map(Load::of).unwrap_or_default();
    let now = instance.clock.now();
    let reported_at = books.and_then(|books| books.reported_at);
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

/// Returns the only model that the routes in force lead to the server's pool for, if there is one.
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

/// What the books show of the load of an engine.
#[derive(Debug, Default)]
struct Load {
    slots_used: Option<u64>,
    slots: Option<u64>,
    pieces_used: Option<u64>,
    pieces: Option<u64>,
    queue: Option<u64>,
}

impl Load {
    fn of(books: &EngineState) -> Self {
        let usage = books.usage;
        let is_prefill = books.spec.role == Role::Prefill;
        let slots_used = |usage: ServerUsage| match is_prefill {
            true => usage.reading,
            false => usage.running + usage.foreign,
        };
        let pieces_used = |usage: ServerUsage| match is_prefill {
            true => usage.read_pieces,
            false => usage.running_pieces + usage.reserved_pieces,
        };
        let queue = |usage: ServerUsage| match is_prefill {
            true => usage.transfers,
            false => usage.reserved,
        };
        Self {
            slots_used: usage.map(|usage| slots_used(usage).into()),
            slots: Some(books.spec.slots.into()),
            pieces_used: usage.map(|usage| pieces_used(usage).into()),
            pieces: Some(books.spec.memory_pieces.into()),
            queue: usage.map(|usage| queue(usage).into()),
        }
    }
}
