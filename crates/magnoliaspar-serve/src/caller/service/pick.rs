//! Load balancing over the servers of a plain service.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use magnoliaspar_core::ServerName;

use crate::directory::KnownServer;

/// Counts the calls of each server, in progress and in total.
#[derive(Debug, Clone, Default)]
pub struct ServiceLoad(Rc<RefCell<BTreeMap<ServerName, CallCounts>>>);

#[derive(Debug, Clone, Copy, Default)]
struct CallCounts {
    in_flight: u32,
    total: u64,
}

/// A chosen server; its call counts as in progress until this value is dropped.
#[derive(Debug)]
pub struct ServicePick {
    /// The server.
    pub server: KnownServer,
    load: ServiceLoad,
}

impl ServiceLoad {
    /// Chooses the server with the fewest calls in progress; the fewest calls in total break a tie.
    ///
    /// Servers in `failed` are chosen only if no other is available.
    pub fn pick(&self, servers: &[KnownServer], failed: &[ServerName]) -> Option<ServicePick> {
        let mut best: Option<((bool, u32, u64), &KnownServer)> = None;
        for server in servers {
            let calls = self.0.borrow().get(&server.name).copied().unwrap_or_default();
            let rank = (failed.contains(&server.name), calls.in_flight, calls.total);
            if best.is_none_or(|(best, _)| rank < best) {
                best = Some((rank, server));
            }
        }
        let (_, server) = best?;
        let mut counts = self.0.borrow_mut();
        let calls = counts.entry(server.name.clone()).or_default();
        calls.in_flight += 1;
        calls.total += 1;
        Some(ServicePick { server: server.clone(), load: self.clone() })
    }
}

impl Drop for ServicePick {
    fn drop(&mut self) {
        let mut counts = self.load.0.borrow_mut();
        let Some(calls) = counts.get_mut(&self.server.name) else { return };
        calls.in_flight -= 1;
    }
}

#[cfg(test)]
mod tests {
    use super::ServiceLoad;
    use crate::directory::KnownServer;

    #[test]
    fn calls_go_to_the_server_with_the_fewest_in_flight() {
        let load = ServiceLoad::default();
        let servers = [KnownServer::for_test("a"), KnownServer::for_test("b")];
        let first = load.pick(&servers, &[]).unwrap();
        let second = load.pick(&servers, &[]).unwrap();
        assert_ne!(first.server.name, second.server.name);
        let failed = [first.server.name.clone()];
        drop(first);
        assert_eq!(load.pick(&servers, &failed).unwrap().server.name, second.server.name);
    }
}
