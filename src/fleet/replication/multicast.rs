//! Sends a frame to many daemons over a tree, so that no daemon sends it more than a fixed number
//! of times.
//!
//! The sender divides the receivers into groups of the same availability zone where possible. The
//! first of each group receives the frame with the addresses of the rest and passes it on in the
//! same way. Each daemon thus receives one copy. If a daemon
//! in between has ended, its group misses the frame. Digests are repeated, and a daemon that learns
//! from a digest that it lacks records requests them.

use std::net::SocketAddr;

use crate::fleet::{Effect, Frame, Node};

/// Maximum number of daemons to which one daemon sends a small frame.
const MAX_FANOUT: usize = 64;
/// The same for large frames.
const MIN_FANOUT: usize = 4;
/// Bytes before compression that one daemon sends of a frame, unless that is less than [`MIN_FANOUT`] copies.
const MAX_BYTES: usize = 1024 * 1024;

/// A frame to be passed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Relay {
    /// The daemons that receive the frame through the receiver of this one.
    pub to: Vec<SocketAddr>,
    /// The frame, which is itself no relay.
    pub frame: Box<Frame>,
}

/// Number of daemons to which one daemon sends a frame of about `bytes`.
fn fanout(bytes: usize) -> usize {
    (MAX_BYTES / bytes.max(1)).clamp(MIN_FANOUT, MAX_FANOUT)
}

impl Node {
    /// Sends a frame to these peers, each of which receives it once. In small fleets it is sent to
    /// all of them directly.
    pub(in crate::fleet) fn multicast(
        &mut self,
        mut to: Vec<(Option<String>, SocketAddr)>,
        frame: Frame,
    ) {
        // The first daemon of a group differs from frame to frame. One that has just ended thus does
        // not hide the sender from the same daemons for long.
        self.rng.shuffle(&mut to);
        if to.len() > fanout(frame.size_hint()) {
            to.sort_by(|(a, _), (b, _)| a.cmp(b));
            let to = to.into_iter().map(|(_, address)| address).collect();
            return self.relay(to, frame);
        }
        if !to.is_empty() {
            let to = to.into_iter().map(|(_, address)| address).collect();
            self.effects.push(Effect::Send(to, frame));
        }
    }

    /// Sends a frame to the first of each group of `to`, with the addresses of the rest.
    pub(in crate::fleet) fn relay(&mut self, to: Vec<SocketAddr>, frame: Frame) {
        let groups = fanout(frame.size_hint());
        let mut leaves = Vec::new();
        for group in to.chunks(to.len().div_ceil(groups).max(1)) {
            let Some((first, rest)) = group.split_first() else { continue };
            if rest.is_empty() {
                leaves.push(*first);
                continue;
            }
            let relay = Relay { to: rest.to_vec(), frame: Box::new(frame.clone()) };
            self.effects.push(Effect::Send(vec![*first], Frame::Relay(relay)));
        }
        if !leaves.is_empty() {
            let relay = Relay { to: Vec::new(), frame: Box::new(frame) };
            self.effects.push(Effect::Send(leaves, Frame::Relay(relay)));
        }
    }
}
