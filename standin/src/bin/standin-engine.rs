//! Entry point of `cardamomvalve_standin::engine`.

use clap::Parser;

fn main() -> eyre::Result<()> {
    cardamomvalve_standin::engine::run(&cardamomvalve_standin::engine::Options::parse())
}
