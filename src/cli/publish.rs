//! `publish`: appends a manifest to the log by compare-and-set, and reads the log to learn the result.

use std::net::SocketAddr;
use std::time::Instant;

use async_io::{Timer, block_on};
use serde_json::{Value, json};

use super::options::Publish;
use super::{check, pretty_json};
use crate::clients::log;
use crate::control::{AppendResult, Stream};
use crate::manifest::{Body, FORMAT, Record, State, Verdict, merge_patch};
use crate::prelude::*;

/// Time between two reads of the log.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the command.
pub(super) fn run(options: &Publish) -> Result<String> {
    let manifest = check::load(&options.file, options.json)?;
    let value = serde_json::to_value(&manifest)
        .map_err(|error| Error::new(Code::ManifestInvalid, error.to_string()))?;
    let generation = block_on(publish(options, value))?;
    if options.json {
        return Ok(pretty_json(&json!({ "generation": generation })));
    }
    Ok(format!("Generation {generation} is in force."))
}

async fn publish(options: &Publish, manifest: Value) -> Result<u64> {
    let address = options.log_service;
    let mut publication = Publication::new(format!("{:016x}", fastrand::u64(..)));
    catch_up(address, &mut publication).await?;
    let replaces = options.replaces.unwrap_or(publication.state.generation());
    if replaces != publication.state.generation() {
        return Err(publish_lost(&publication.state, replaces));
    }
    let body = shorter_body(&publication.state, replaces, manifest);
    let record = Record { format: FORMAT, id: publication.id.clone(), body };
    match log::append(address, Stream::Manifest, record.encode()).await {
        Ok(offset) => read_back(options, &mut publication, replaces, Some(offset)).await,
        Err(AppendResult::Refused) => Err(Error::new(
            Code::LogUnreachable,
            format!("{address}: the log service refused the record"),
        )),
        Err(_) => read_back(options, &mut publication, replaces, None).await,
    }
}

/// A publication in progress: the state folded from the log, and whether its record was accepted.
#[derive(Debug)]
pub(super) struct Publication {
    state: State,
    /// The record's id.
    id: String,
    /// The generation of the record once accepted; later records don't change it.
    accepted: Option<u64>,
}

impl Publication {
    pub(super) fn new(id: String) -> Self {
        Self { state: State::default(), id, accepted: None }
    }

    /// Returns the generation of the record if it was accepted.
    pub(super) fn accepted(&self) -> Option<u64> {
        self.accepted
    }

    /// Folds the record at `offset`. Acceptance is noted here because another publisher may replace the
    /// manifest before it is read back; the manifest in force at the end doesn't show it.
    pub(super) fn fold(&mut self, offset: u64, text: &str) {
        if let Verdict::Accepted(in_force) = self.state.fold(offset, text)
            && in_force.record_id == self.id
        {
            self.accepted = Some(in_force.generation);
        }
    }
}

/// Returns the patch from the manifest in force if it is shorter, otherwise the whole manifest.
fn shorter_body(state: &State, replaces: u64, manifest: Value) -> Body {
    let patch = merge_patch(&state.value(), &manifest);
    let patch_suffices = {
        let mut merged = state.value();
        json_patch::merge(&mut merged, &patch);
        merged == manifest
    };
    // A JSON merge patch can't set a field to null; then the whole manifest is needed.
    if patch_suffices
        && state.current().is_some()
        && patch.to_string().len() < manifest.to_string().len()
    {
        return Body::Change { replaces, patch };
    }
    Body::Publish { replaces, manifest }
}

/// Reads the log until the record is accepted, rejected or the wait is over.
async fn read_back(
    options: &Publish,
    publication: &mut Publication,
    replaces: u64,
    offset: Option<u64>,
) -> Result<u64> {
    let deadline = Instant::now() + Duration::from_secs(options.wait_s);
    loop {
        // A failed read is retried: the record may be on the log.
        catch_up(options.log_service, publication).await.ok();
        if let Some(generation) = publication.accepted() {
            return Ok(generation);
        }
        let Publication { state, id, .. } = &*publication;
        let was_read = offset.is_some_and(|offset| state.next() > offset);
        if was_read || state.generation() > replaces {
            return Err(publish_lost(state, replaces));
        }
        if Instant::now() >= deadline {
            let detail = format!(
                "the outcome of the append is unknown: record {id} was not found on the log in time"
            );
            return Err(Error::new(Code::LogUnreachable, detail));
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn catch_up(address: SocketAddr, publication: &mut Publication) -> Result<()> {
    loop {
        let read = log::read(address, Stream::Manifest, publication.state.next(), 0)
            .await
            .map_err(|reason| Error::new(Code::LogUnreachable, format!("{address}: {reason}")))?;
        publication.state.skip_to(read.first);
        for record in &read.records {
            publication.fold(record.offset, &record.text);
        }
        if publication.state.next() >= read.next {
            return Ok(());
        }
    }
}

/// Returns the error that another publisher's manifest is in force.
fn publish_lost(state: &State, replaces: u64) -> Error {
    let winner = state.current().map_or("none", |in_force| &in_force.record_id);
    let detail = format!(
        "generation {} is in force, published as {winner}; this manifest replaces {replaces}",
        state.generation()
    );
    Error::new(Code::PublishLost, detail)
}
