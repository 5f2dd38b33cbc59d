//! The command line of the operators' client.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// Checks, publishes and looks at what routers do.
#[derive(Debug, Parser)]
#[command(name = "cardamomvalve", version)]
pub struct Options {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The client's subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a manifest and print everything that is wrong with it.
    Check(Check),
    /// Publish a manifest, unless another publisher was first.
    Publish(Publish),
    /// Show a daemon's state.
    Status(Status),
    /// Show where a daemon would send a completion, and why.
    Explain(Explain),
    /// Print one request's history from daemons' log lines.
    Trace(Trace),
    /// Print the JSON Schema of a file.
    Schema {
        /// Which file.
        of: Schema,
    },
    /// Print the table of result codes.
    Codes {
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print the catalogue of log events.
    Events {
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print a shell's completions.
    Completions {
        /// Which shell.
        shell: Shell,
    },
}

/// Files that have a JSON Schema.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum Schema {
    /// A daemon's settings.
    Settings,
    /// The manifest.
    Manifest,
}

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct Check {
    /// The manifest.
    pub file: PathBuf,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `publish`.
#[derive(Debug, Args)]
pub struct Publish {
    /// The manifest.
    pub file: PathBuf,
    /// The platform's log service.
    #[arg(long, value_name = "ADDRESS")]
    pub log_service: SocketAddr,
    /// The generation that it replaces; the one in force by default.
    #[arg(long, value_name = "GENERATION")]
    pub replaces: Option<u64>,
    /// Seconds to wait for a lost answer's record to show up.
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub wait_s: u64,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct Status {
    /// The daemon's operators' address.
    #[arg(long, value_name = "ADDRESS")]
    pub daemon: SocketAddr,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct Explain {
    /// The daemon's operators' address.
    #[arg(long, value_name = "ADDRESS")]
    pub daemon: SocketAddr,
    /// The workspace.
    #[arg(long)]
    pub workspace: String,
    /// The model.
    #[arg(long)]
    pub model: String,
    /// A file with the prompt.
    #[arg(long, value_name = "FILE")]
    pub prompt: PathBuf,
    /// Byte offsets at which the prompt's levels end.
    #[arg(long, value_delimiter = ',')]
    pub levels: Vec<usize>,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `trace`.
#[derive(Debug, Args)]
pub struct Trace {
    /// The request's id.
    pub request: String,
    /// Files with log lines of any daemons, in JSON; standard input by default.
    pub files: Vec<PathBuf>,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Returns the completion script for `shell`.
pub(super) fn completions(shell: Shell) -> String {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut Options::command(), "cardamomvalve", &mut text);
    String::from_utf8_lossy(&text).trim_end().to_owned()
}
