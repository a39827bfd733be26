//! Exchanges gossip with other instances: membership, configuration and quarantine.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_configuration::ConfigMessage;
use magnoliaspar_core::{Incarnation, InstanceName};
use magnoliaspar_membership::Outgoing;
use magnoliaspar_wire::peer::GossipFrame;

use super::convert::{
    from_delta, from_gossip, from_quarantine, to_delta, to_membership, to_quarantine,
};
use super::state::ClusterState;
use crate::peer::{BadMessage, PeerClients};

/// Minimum time between two gossip rounds.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Maximum pause before the next gossip round, after [`MIN_ROUND_PAUSE`] has passed.
const MAX_ROUND_PAUSE: Duration = Duration::from_secs(1);

/// Interval between two attempts to join through the seeds while no other instance is known.
const JOIN_PERIOD: Duration = Duration::from_secs(1);

/// A frame with the address of its recipient.
struct AddressedFrame {
    address: SocketAddr,
    frame: GossipFrame,
}

/// Sends gossip to other instances, forever.
pub async fn run_gossip(
    cluster: Rc<ClusterState>,
    clients: Rc<PeerClients>,
    seeds: Box<[SocketAddr]>,
) {
    actix_rt::spawn(join_seeds(cluster.clone(), clients.clone(), seeds));
    loop {
        for (name, addressed) in cluster.due_frames() {
            clients.send_gossip(&name, addressed.address, addressed.frame);
        }
        tokio::time::sleep(MIN_ROUND_PAUSE).await;
        let next = cluster.membership.borrow().next_tick();
        let pause = next.saturating_duration_since(cluster.clock.now()).min(MAX_ROUND_PAUSE);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = cluster.gossip_requested() => {}
        }
    }
}

/// Joins the cluster through the seed addresses in the settings while no other instance is known.
async fn join_seeds(cluster: Rc<ClusterState>, clients: Rc<PeerClients>, seeds: Box<[SocketAddr]>) {
    loop {
        let now = cluster.clock.now();
        if cluster.membership.borrow().neighbours(now).is_empty() {
            for seed in &seeds {
                let greeting = cluster.membership.borrow_mut().greeting();
                let mut frame = cluster.new_frame();
                frame.membership = Some(to_membership(&greeting));
                clients.send_gossip(cluster.name(), *seed, frame);
            }
        }
        tokio::time::sleep(JOIN_PERIOD).await;
    }
}

impl ClusterState {
    /// Applies a frame of another instance.
    pub fn receive(&self, frame: GossipFrame) -> Result<(), BadMessage> {
        let sender = InstanceName::try_from(frame.sender.as_str())?;
        self.journal.observe(magnoliaspar_event::Stamp(frame.hlc));
        self.observe_incarnation(&sender, Incarnation(frame.life));
        if let Some(membership) = &frame.membership {
            self.receive_membership(&from_gossip(&sender, membership)?);
        }
        for delta in &frame.quarantine {
            self.quarantine().merge(&from_quarantine(delta));
        }
        let mut deltas = Vec::new();
        for delta in &frame.config {
            deltas.push(from_delta(delta)?);
        }
        self.receive_configuration(&sender, frame.config_version, deltas);
        Ok(())
    }

    /// Returns the frames of the current round by recipient.
    fn due_frames(&self) -> BTreeMap<InstanceName, AddressedFrame> {
        let now = self.clock.now();
        let (outgoing, changes) = self.membership.borrow_mut().tick(now);
        self.apply_membership_changes(&changes);
        let neighbours = self.membership.borrow().neighbours(now);
        let configuration = self.configuration.borrow();
        let messages = self.spread.borrow_mut().tick(now, &configuration, &neighbours);
        drop(configuration);
        let mut frames = BTreeMap::new();
        for message in outgoing {
            self.add_membership(&mut frames, message);
        }
        for message in messages {
            self.add_configuration(&mut frames, message);
        }
        self.add_quarantine(&mut frames, &neighbours);
        frames
    }

    fn add_membership(&self, frames: &mut BTreeMap<InstanceName, AddressedFrame>, out: Outgoing) {
        let mut frame = self.new_frame();
        frame.membership = Some(to_membership(&out.gossip));
        frames.insert(out.to, AddressedFrame { address: out.address, frame });
    }

    fn add_configuration(
        &self,
        frames: &mut BTreeMap<InstanceName, AddressedFrame>,
        message: ConfigMessage,
    ) {
        let Some(addressed) = self.frame_to(frames, &message.to) else { return };
        for delta in &message.deltas {
            addressed.frame.config.push(to_delta(delta));
        }
    }

    /// Adds quarantine changes to the frames to the neighbours and to one instance of each other
    /// zone.
    fn add_quarantine(
        &self,
        frames: &mut BTreeMap<InstanceName, AddressedFrame>,
        neighbours: &BTreeSet<InstanceName>,
    ) {
        let deltas = self.quarantine().take_deltas();
        if deltas.is_empty() {
            return;
        }
        for name in neighbours.iter().chain(&self.other_zone_contacts()) {
            let Some(addressed) = self.frame_to(frames, name) else { continue };
            for delta in &deltas {
                addressed.frame.quarantine.push(to_quarantine(delta));
            }
        }
    }

    /// Returns the frame to an instance, and creates one if there is none. Returns `None` if the
    /// instance's address is unknown.
    fn frame_to<'a>(
        &self,
        frames: &'a mut BTreeMap<InstanceName, AddressedFrame>,
        to: &InstanceName,
    ) -> Option<&'a mut AddressedFrame> {
        if !frames.contains_key(to) {
            let address = self.address_of(to)?;
            frames.insert(to.clone(), AddressedFrame { address, frame: self.new_frame() });
        }
        frames.get_mut(to)
    }

    fn new_frame(&self) -> GossipFrame {
        GossipFrame {
            sender: self.name().to_string(),
            hlc: self.journal.stamp().0,
            config_version: self.configuration.borrow().version(),
            config: Vec::new(),
            membership: None,
            quarantine: Vec::new(),
            life: self.own_incarnation().0,
        }
    }
}
