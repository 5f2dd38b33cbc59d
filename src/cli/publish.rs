//! `publish`: compare-and-set on the log, with a lost answer read back.

use std::net::SocketAddr;
use std::time::Instant;

use async_io::{Timer, block_on};
use serde_json::{Value, json};

use super::options::Publish;
use super::{check, pretty};
use crate::clients::log;
use crate::control::{AppendResult, Stream};
use crate::manifest::{Body, FORMAT, Record, State, Verdict, merge_patch};
use crate::prelude::*;

/// Pause between two reads of the log.
const PAUSE: Duration = Duration::from_millis(100);

/// Publishes the file.
pub(super) fn run(options: &Publish) -> Result<String> {
    let manifest = check::load(&options.file, options.json)?;
    let value = serde_json::to_value(&manifest)
        .map_err(|error| Error::new(Code::ManifestInvalid, error.to_string()))?;
    let generation = block_on(publish(options, value))?;
    if options.json {
        return Ok(pretty(&json!({ "generation": generation })));
    }
    Ok(format!("Generation {generation} is in force."))
}

async fn publish(options: &Publish, manifest: Value) -> Result<u64> {
    let address = options.log_service;
    let mut race = Race::new(format!("{:016x}", fastrand::u64(..)));
    catch_up(address, &mut race).await?;
    let replaces = options.replaces.unwrap_or(race.state.generation());
    if replaces != race.state.generation() {
        return Err(lost(&race.state, replaces));
    }
    let body = smaller(&race.state, replaces, manifest);
    let record = Record { format: FORMAT, id: race.id.clone(), body };
    match log::append(address, Stream::Manifest, record.encode()).await {
        Ok(offset) => read_back(options, &mut race, replaces, Some(offset)).await,
        Err(AppendResult::Refused) => {
            Err(Error::new(Code::LogUnreachable, format!("{address}: it took no record")))
        }
        Err(_) => read_back(options, &mut race, replaces, None).await,
    }
}

/// One publisher's view of the log, and what became of its record.
#[derive(Debug)]
pub(super) struct Race {
    state: State,
    /// The record's id.
    id: String,
    /// The generation as which it was accepted, whatever came after it.
    won: Option<u64>,
}

impl Race {
    pub(super) fn new(id: String) -> Self {
        Self { state: State::default(), id, won: None }
    }

    /// The generation as which the record was accepted.
    pub(super) fn won(&self) -> Option<u64> {
        self.won
    }

    /// Folds the record at `offset`. Another publisher may have replaced this one's manifest before it
    /// is read back, so what is in force at the end does not tell.
    pub(super) fn fold(&mut self, offset: u64, text: &str) {
        if let Verdict::Accepted(force) = self.state.fold(offset, text)
            && force.record_id == self.id
        {
            self.won = Some(force.generation);
        }
    }
}

/// The whole manifest, or only what changes where that is shorter.
fn smaller(state: &State, replaces: u64, manifest: Value) -> Body {
    let patch = merge_patch(&state.value(), &manifest);
    let changed = {
        let mut merged = state.value();
        json_patch::merge(&mut merged, &patch);
        merged == manifest
    };
    // A patch can't set a field to null; the whole manifest then says so.
    if changed && state.current().is_some() && patch.to_string().len() < manifest.to_string().len()
    {
        return Body::Change { replaces, patch };
    }
    Body::Publish { replaces, manifest }
}

/// Folds the log until this record's fate is known.
async fn read_back(
    options: &Publish,
    race: &mut Race,
    replaces: u64,
    offset: Option<u64>,
) -> Result<u64> {
    let end = Instant::now() + Duration::from_secs(options.wait_s);
    loop {
        // An unreachable log is asked again: the record may be there.
        catch_up(options.log_service, race).await.ok();
        if let Some(generation) = race.won() {
            return Ok(generation);
        }
        let Race { state, id, .. } = &*race;
        let passed = offset.is_some_and(|offset| state.next() > offset);
        if passed || state.generation() > replaces {
            return Err(lost(state, replaces));
        }
        if Instant::now() >= end {
            let detail = format!("the answer was lost, and record {id} has not shown up");
            return Err(Error::new(Code::LogUnreachable, detail));
        }
        Timer::after(PAUSE).await;
    }
}

async fn catch_up(address: SocketAddr, race: &mut Race) -> Result<()> {
    loop {
        let read = log::read(address, Stream::Manifest, race.state.next(), 0)
            .await
            .map_err(|reason| Error::new(Code::LogUnreachable, format!("{address}: {reason}")))?;
        race.state.skip_to(read.first);
        for record in &read.records {
            race.fold(record.offset, &record.text);
        }
        if race.state.next() >= read.next {
            return Ok(());
        }
    }
}

fn lost(state: &State, replaces: u64) -> Error {
    let winner = state.current().map_or("none", |force| &force.record_id);
    let detail = format!(
        "generation {} is in force, published as {winner}; this one replaces {replaces}",
        state.generation()
    );
    Error::new(Code::PublishLost, detail)
}
