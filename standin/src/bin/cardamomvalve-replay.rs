//! Entry point of `cardamomvalve_standin::replay`.

use clap::Parser;

fn main() -> eyre::Result<()> {
    use cardamomvalve_standin::replay::options::{Options, run};
    run(&Options::parse())
}
