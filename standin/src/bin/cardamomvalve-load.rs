//! Entry point of `cardamomvalve_standin::load`.

use clap::Parser;

fn main() -> eyre::Result<()> {
    cardamomvalve_standin::load::run(&cardamomvalve_standin::load::Options::parse())
}
