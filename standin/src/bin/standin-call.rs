//! Entry point of `cardamomvalve_standin::call`.

use clap::Parser;

fn main() -> eyre::Result<()> {
    cardamomvalve_standin::call::run(&cardamomvalve_standin::call::Options::parse())
}
