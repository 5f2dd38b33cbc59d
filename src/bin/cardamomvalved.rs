//! The daemon: reads its settings and runs until its planned stop has finished.

use std::process::ExitCode;

use cardamomvalve::daemon::{Options, run};
use cardamomvalve::settings::Settings;
use clap::Parser;

fn main() -> ExitCode {
    let options = Options::parse();
    let result = Settings::load(&options.settings)
        .and_then(|settings| if options.check { Ok(()) } else { run(settings) });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cardamomvalved: {error}");
            ExitCode::from(error.code.row().exit_code)
        }
    }
}
