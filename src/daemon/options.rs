//! The daemon's command line.

use std::path::PathBuf;

use clap::Parser;

/// Routes language-model traffic that carries long shared prompts.
#[derive(Debug, Parser)]
#[command(name = "cardamomvalved", version)]
pub struct Options {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Only check the settings file.
    #[arg(long)]
    pub check: bool,
}
