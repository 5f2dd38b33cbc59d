//! Entry point of `cardamomvalve_standin::log`.

use clap::Parser;

fn main() -> eyre::Result<()> {
    cardamomvalve_standin::log::run(&cardamomvalve_standin::log::Options::parse())
}
