//! The replay's command line.

use std::path::PathBuf;

use clap::Parser;

use super::faults::Fault;
use super::figures::{Figures, table};
use super::generate::{Kind, generate};
use super::policy::Policy;
use super::world::{Setup, replay};
use super::{plot, trace};

/// Replays a trace in virtual time and prints its figures.
#[derive(Debug, Parser)]
#[command(name = "cardamomvalve-replay", version)]
pub struct Options {
    /// Which trace; all by default.
    #[arg(long = "trace", value_enum)]
    pub kinds: Vec<Kind>,
    /// Which policy; all by default.
    #[arg(long = "policy", value_enum)]
    pub policies: Vec<Policy>,
    /// Which fault; none by default.
    #[arg(long = "fault", value_enum)]
    pub faults: Vec<Fault>,
    /// Replay with every fault.
    #[arg(long)]
    pub all_faults: bool,
    /// Length of generated traces.
    #[arg(long, value_name = "SECONDS", default_value_t = 300)]
    pub seconds: u64,
    /// Seeds; figures are given with their spread over these.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 3])]
    pub seeds: Vec<u64>,
    /// Replay this recorded trace in place of a generated one, as the kind given.
    #[arg(long, value_name = "FILE")]
    pub file: Option<PathBuf>,
    /// Write the generated trace here, and do nothing else.
    #[arg(long, value_name = "FILE")]
    pub write: Option<PathBuf>,
    /// Draw time to first token and hit rate over time into this folder, as SVG.
    #[arg(long, value_name = "FOLDER")]
    pub plot: Option<PathBuf>,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Replays as told.
pub fn run(options: &Options) -> eyre::Result<()> {
    let kinds = or_all(&options.kinds, &Kind::ALL);
    let policies = or_all(&options.policies, &Policy::ALL);
    let faults = match (options.all_faults, options.faults.is_empty()) {
        (true, _) => Fault::ALL.to_vec(),
        (false, true) => vec![Fault::None],
        (false, false) => options.faults.clone(),
    };
    if let Some(path) = &options.write {
        let kind = kinds.first().copied().unwrap_or(Kind::Isolanova);
        let seed = options.seeds.first().copied().unwrap_or(1);
        let file = std::io::BufWriter::new(std::fs::File::create(path)?);
        return trace::write(file, &generate(kind, seed, options.seconds));
    }
    let mut runs = Vec::new();
    for kind in kinds {
        for fault in &faults {
            let mut rows: Vec<(Policy, Vec<Figures>)> = Vec::new();
            for policy in &policies {
                let figures = replay_seeds(options, kind, *fault, *policy)?;
                rows.push((*policy, figures));
            }
            if let Some(folder) = &options.plot {
                std::fs::create_dir_all(folder)?;
                plot::draw(folder, kind, *fault, &rows)?;
            }
            if !options.json {
                println!("{}", table(kind, *fault, &rows));
            }
            runs.extend(rows.into_iter().flat_map(|(policy, figures)| {
                figures.into_iter().map(move |f| f.json(kind, *fault, policy)).collect::<Vec<_>>()
            }));
        }
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&runs)?);
    }
    Ok(())
}

fn or_all<T: Copy>(chosen: &[T], all: &[T]) -> Vec<T> {
    if chosen.is_empty() { all.to_vec() } else { chosen.to_vec() }
}

/// One replay a seed, each on a thread of its own.
fn replay_seeds(
    options: &Options,
    kind: Kind,
    fault: Fault,
    policy: Policy,
) -> eyre::Result<Vec<Figures>> {
    let recorded = match &options.file {
        Some(path) => Some(trace::read(std::io::BufReader::new(std::fs::File::open(path)?))?),
        None => None,
    };
    std::thread::scope(|scope| {
        let replays: Vec<_> = options
            .seeds
            .iter()
            .map(|seed| {
                let trace = recorded.clone();
                scope.spawn(move || {
                    let trace = trace.unwrap_or_else(|| generate(kind, *seed, options.seconds));
                    replay(Setup { kind, fault, policy, seed: *seed }, trace)
                })
            })
            .collect();
        replays
            .into_iter()
            .map(|replay| replay.join().map_err(|_| eyre::eyre!("a replay failed")))
            .collect()
    })
}
