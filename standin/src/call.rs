//! Sends one HTTP request from the command line, for scripts on machines without other HTTP tools.

use std::io::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::block_on;
use cardamomvalve::http::body::Framing;
use cardamomvalve::http::client::{self, Limits};
use clap::Parser;
use futures_lite::AsyncReadExt;
use http_types::Method;

const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_secs(2),
    head_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(30),
    max_body_bytes: 64 << 20,
};

/// Command-line options of the tool.
#[derive(Debug, Parser)]
#[command(name = "standin-call", version, about = "Sends one HTTP request and prints the answer")]
pub struct Options {
    /// The method.
    pub method: Method,
    /// Where to.
    pub address: SocketAddr,
    /// The path.
    pub path: String,
    /// A header, as NAME=VALUE; may be repeated.
    #[arg(long = "header", value_name = "NAME=VALUE")]
    pub headers: Vec<String>,
    /// The body.
    #[arg(long)]
    pub body: Option<String>,
    /// Print the answer's status and headers too.
    #[arg(long)]
    pub show_head: bool,
}

/// Sends the request and prints the answer. Fails on a status other than 2xx and
/// on a truncated answer.
pub fn run(options: &Options) -> eyre::Result<()> {
    block_on(call(options))
}

async fn call(options: &Options) -> eyre::Result<()> {
    let mut request = client::request(options.method, options.address, &options.path)?;
    for pair in &options.headers {
        let (name, value) =
            pair.split_once('=').ok_or_else(|| eyre::eyre!("{pair}: give NAME=VALUE"))?;
        request.insert_header(name, value);
    }
    if let Some(body) = &options.body {
        request.set_body(body.as_str());
    }
    let mut answer = client::send(options.address, request, LIMITS)
        .await
        .map_err(|failure| eyre::eyre!("{}", failure.reason))?;
    let status = answer.response.status();
    if options.show_head {
        println!("HTTP {}", u16::from(status));
        for (name, values) in &answer.response {
            println!("{name}: {}", values.last());
        }
        println!();
    }
    let mut body = answer.response.take_body();
    let mut total_bytes = 0;
    let mut buffer = [0; 4_096];
    loop {
        let count = body.read(&mut buffer).await?;
        if count == 0 {
            break;
        }
        total_bytes += count as u64;
        std::io::stdout().write_all(&buffer[..count])?;
        std::io::stdout().flush()?;
    }
    // The HTTP library takes a body cut short of its length as whole.
    if let Framing::Length(length) = answer.framing {
        eyre::ensure!(total_bytes == length, "{total_bytes} of {length} bytes arrived");
    }
    eyre::ensure!(status.is_success(), "the answer is {}", u16::from(status));
    Ok(())
}
