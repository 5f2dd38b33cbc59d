//! The operators' client: parses the command line, runs the command and prints its result or error.

use std::io::Write as _;
use std::process::ExitCode;

use cardamomvalve::cli::{Options, run};
use clap::Parser;

fn main() -> ExitCode {
    match run(&Options::parse()) {
        Ok(text) => {
            // A reader that closes the pipe early, such as `head`, is not an error.
            writeln!(std::io::stdout(), "{text}").ok();
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("cardamomvalve: {error}");
            ExitCode::from(error.code.row().exit_code)
        }
    }
}
