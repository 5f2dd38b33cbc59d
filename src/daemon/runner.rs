//! Executes a node's effects on the traffic threads and sends their results back to the node.

use std::net::SocketAddr;

use async_executor::Executor;

use super::Control;
use crate::clients;
use crate::control::{AppendResult, Effect, Message, Stream};
use crate::membership;
use crate::order::Order;
use crate::peer::{Frame, Links};
use crate::poison::Incarnation;
use crate::prelude::*;
use crate::relay;
use crate::telemetry::emit;

/// Executes effects.
pub(super) struct Runner {
    pub(super) executor: Arc<Executor<'static>>,
    pub(super) control: Control,
    pub(super) log_service: SocketAddr,
    pub(super) links: Links,
}

impl Runner {
    /// Starts one effect. The control thread itself handles commands and manifests.
    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Command(..) | Effect::UseManifest(_) => {}
            Effect::Append { number, text } => self.append(number, text),
            Effect::AppendLease(text) => self.append_lease(text),
            Effect::Order { server, address, order } => self.send_order(server, address, &order),
            Effect::Checkpoint(text) => self.checkpoint(text),
            Effect::AppendBlocked(text) => self.append_blocked(text),
            Effect::Probe(incarnation, address) => self.probe(incarnation, address),
            Effect::Poll { server, address, from } => self.poll(server, address, from),
            Effect::Send(address, frame) => self.send(address, frame),
            Effect::Event(event, detail) => emit(event, detail),
        }
    }

    fn append(&self, number: u64, text: String) {
        let (control, address) = (self.control.clone(), self.log_service);
        let append = async move {
            let result = match clients::log::append(address, Stream::Ledger, text).await {
                Ok(_) => AppendResult::Written,
                Err(result) => result,
            };
            control.tell(Message::Appended { number, result });
        };
        self.executor.spawn(append).detach();
    }

    /// Ignores the result, because a lease counts only once it is read from the stream.
    fn append_lease(&self, text: String) {
        let address = self.log_service;
        let append = async move {
            clients::log::append(address, Stream::Lease, text).await.ok();
        };
        self.executor.spawn(append).detach();
    }

    fn send_order(&self, server: membership::Key, address: SocketAddr, order: &Order) {
        let control = self.control.clone();
        let body = serde_json::to_string(order).unwrap_or_default();
        let sending = async move {
            let accepted = clients::engine::send_order(address, body).await;
            control.tell(Message::Ordered(server, accepted));
        };
        self.executor.spawn(sending).detach();
    }

    fn checkpoint(&self, text: String) {
        let (control, address) = (self.control.clone(), self.log_service);
        let append = async move {
            clients::log::append(address, Stream::Manifest, text).await.ok();
            control.tell(Message::Checkpointed);
        };
        self.executor.spawn(append).detach();
    }

    /// Ignores the result. Reading the stream shows whether the record was written.
    fn append_blocked(&self, text: String) {
        let address = self.log_service;
        let append = async move {
            clients::log::append(address, Stream::Blocked, text).await.ok();
        };
        self.executor.spawn(append).detach();
    }

    fn probe(&self, incarnation: Incarnation, address: SocketAddr) {
        let control = self.control.clone();
        let probe = async move {
            let answer = relay::probe(address).await;
            control.tell(Message::Probed(incarnation, answer));
        };
        self.executor.spawn(probe).detach();
    }

    fn poll(&self, server: membership::Key, address: SocketAddr, from: u64) {
        let control = self.control.clone();
        let poll = async move {
            let message = match clients::engine::poll(address, from).await {
                Ok(report) => Message::Polled(server, Box::new(report)),
                Err(_) => Message::PollFailed(server),
            };
            control.tell(message);
        };
        self.executor.spawn(poll).detach();
    }

    fn send(&mut self, address: SocketAddr, frame: Frame) {
        self.links.send(&self.executor, address, frame.encode().into());
    }
}
