//! `publish`: compare-and-set on the log, with a lost answer read back.

use std::net::SocketAddr;
use std::time::Instant;

use async_io::{Timer, block_on};
use serde_json::{Value, json};

use super::options::Publish;
use super::{check, pretty_json};
use crate::clients::log;
use crate::control::{AppendResult, Stream};
use crate::manifest::{Body, FORMAT, Record, State, Verdict, difference};
use crate::prelude::*;

/// Pause between two reads of the log.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Publishes the file.
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
        Err(AppendResult::Refused) => {
            Err(Error::new(Code::LogUnreachable, format!("{address}: it took no record")))
        }
        Err(_) => read_back(options, &mut publication, replaces, None).await,
    }
}

/// One publisher's view of the log, and what became of its record.
#[derive(Debug)]
pub(super) struct Publication {
    state: State,
    /// The record's id.
    id: String,
    /// The generation as which it was accepted, whatever came after it.
    accepted: Option<u64>,
}

impl Publication {
    pub(super) fn new(id: String) -> Self {
        Self { state: State::default(), id, accepted: None }
    }

    /// The generation as which the record was accepted.
    pub(super) fn accepted(&self) -> Option<u64> {
        self.accepted
    }

    /// Folds the record at `offset`. Another publisher may have replaced this one's manifest before it
    /// is read back, so what is in force at the end does not tell.
    pub(super) fn fold(&mut self, offset: u64, text: &str) {
        if let Verdict::Accepted(force) = self.state.fold(offset, text)
            && force.published == self.id
        {
            self.accepted = Some(force.generation);
        }
    }
}

/// The whole manifest, or only what changes where that is shorter.
fn shorter_body(state: &State, replaces: u64, manifest: Value) -> Body {
    let patch = difference(&state.value(), &manifest);
    let patch_suffices = {
        let mut merged = state.value();
        json_patch::merge(&mut merged, &patch);
        merged == manifest
    };
    // A patch can't set a field to null; the whole manifest then says so.
    if patch_suffices
        && state.force().is_some()
        && patch.to_string().len() < manifest.to_string().len()
    {
        return Body::Change { replaces, patch };
    }
    Body::Publish { replaces, manifest }
}

/// Folds the log until this record's fate is known.
async fn read_back(
    options: &Publish,
    publication: &mut Publication,
    replaces: u64,
    offset: Option<u64>,
) -> Result<u64> {
    let deadline = Instant::now() + Duration::from_secs(options.wait_s);
    loop {
        // An unreachable log is asked again: the record may be there.
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
            let detail = format!("the answer was lost, and record {id} has not shown up");
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

fn publish_lost(state: &State, replaces: u64) -> Error {
    let winner = state.force().map_or("none", |force| &force.published);
    let detail = format!(
        "generation {} is in force, published as {winner}; this one replaces {replaces}",
        state.generation()
    );
    Error::new(Code::PublishLost, detail)
}
