//! Entry point of `cardamomvalve_standin::vms`.

use clap::Parser;

fn main() -> eyre::Result<()> {
    cardamomvalve_standin::vms::run(&cardamomvalve_standin::vms::Options::parse())
}
