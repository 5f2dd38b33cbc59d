//! HTTP server of a stand-in, with one listener, one thread and one handler.

use std::future::Future;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use cardamomvalve::http::server::{self, Received};
use cardamomvalve::http::{Socket, header};
use http_types::{Request, Response};

/// Maximum time that a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Listens on `address`, prints a ready line and serves until the process ends.
///
/// `handle` answers each request. If it returns `None`, the connection is closed without an answer.
pub fn run<F, Fut>(name: &str, address: SocketAddr, handle: F) -> eyre::Result<()>
where
    F: Fn(Rc<LocalExecutor<'static>>, Received) -> Fut + 'static,
    Fut: Future<Output = Option<Response>> + 'static,
{
    let listener = Async::<TcpListener>::bind(address)?;
    println!("{name} ready address={}", listener.get_ref().local_addr()?);
    std::io::stdout().flush()?;
    let executor = Rc::new(LocalExecutor::new());
    let handle = Rc::new(handle);
    block_on(executor.run(async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let socket = Socket::new(stream, IDLE_TIMEOUT);
            let (handle, spawner) = (Rc::clone(&handle), Rc::clone(&executor));
            let connection_task = async move {
                let endpoint =
                    |request, socket| handle_request(&*handle, &spawner, request, socket);
                server::serve(socket, endpoint).await.ok();
            };
            executor.spawn(connection_task).detach();
        }
    }))
}

async fn handle_request<F, Fut>(
    handle: &F,
    executor: &Rc<LocalExecutor<'static>>,
    request: Request,
    socket: Socket,
) -> http_types::Result<Response>
where
    F: Fn(Rc<LocalExecutor<'static>>, Received) -> Fut,
    Fut: Future<Output = Option<Response>>,
{
    let received = match server::read(request, &socket, MAX_BODY_BYTES).await {
        Ok(received) => received,
        Err(error) => {
            return Ok(server::json(400, &serde_json::json!({ "error": error.message() })));
        }
    };
    let close = received.close;
    let response = handle(Rc::clone(executor), received).await;
    let mut response = response
        .ok_or_else(|| http_types::Error::from_str(http_types::StatusCode::BadGateway, "cut"))?;
    if close {
        response.insert_header("connection", "close");
    }
    Ok(response)
}

/// Returns the value of a query parameter.
pub fn query_param<T: std::str::FromStr>(request: &Request, name: &str) -> Option<T> {
    let (_, value) = request.url().query_pairs().find(|(key, _)| key == name)?;
    value.parse().ok()
}

/// Returns the value of a header that occurs exactly once.
pub fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    header::single(request.as_ref(), name).ok().flatten()
}
