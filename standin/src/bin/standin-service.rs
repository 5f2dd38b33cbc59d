//! Entry point of `cardamomvalve_standin::service`.

use clap::Parser;

fn main() -> eyre::Result<()> {
    cardamomvalve_standin::service::run(&cardamomvalve_standin::service::Options::parse())
}
