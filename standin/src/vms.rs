//! A stand-in for the platform's VM list.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cardamomvalve::clients::vms::List;
use cardamomvalve::http::server::{self, Received};
use clap::Parser;
use http_types::{Method, Response};

use crate::serve;

/// Command-line options of the VM list.
#[derive(Debug, Parser)]
#[command(name = "standin-vms", version, about = "A stand-in for the platform's VM list")]
pub struct Options {
    /// Where to listen; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    list: List,
    down: bool,
}

/// Runs the VM list until the process ends. `GET /vms` reads the list and `PUT /vms` replaces it;
/// `PUT /down` makes reads fail until `PUT /up`.
pub fn run(options: &Options) -> eyre::Result<()> {
    let state = Rc::new(RefCell::new(State::default()));
    serve::run("standin-vms", options.listen, move |_, received| {
        let response = handle_request(&state, &received);
        async { Some(response) }
    })
}

fn handle_request(state: &Rc<RefCell<State>>, received: &Received) -> Response {
    let mut state = state.borrow_mut();
    match (received.request.method(), received.request.url().path()) {
        (Method::Put, "/down") => {
            state.down = true;
            server::empty(204)
        }
        (Method::Put, "/up") => {
            state.down = false;
            server::empty(204)
        }
        (Method::Put, "/vms") => match serde_json::from_slice(&received.body) {
            Ok(list) => {
                state.list = list;
                server::empty(204)
            }
            Err(error) => server::json(400, &serde_json::json!({ "error": error.to_string() })),
        },
        (Method::Get, "/vms") if !state.down => {
            server::json(200, &serde_json::to_value(&state.list).unwrap_or_default())
        }
        _ => server::empty(503),
    }
}
