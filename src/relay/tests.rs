//! Tests of heads, bodies and events, complete and split at any byte.

mod delivery;
mod fixture;
mod handover;
mod intake;
mod matching;
mod takeover;

use super::*;
use crate::fleet::Connect;

fn request(text: &str) -> Result<Option<(Request, usize)>, Malformed> {
    Request::parse(text.as_bytes())
}

#[test]
fn parse_request_whole() {
    let text = "POST /a/b?c=1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nabc";
    let (head, length) = request(text).expect("well-formed").expect("complete");
    assert_eq!((head.method.as_str(), head.path()), ("POST", "/a/b"));
    assert_eq!(head.target, "/a/b?c=1");
    assert_eq!((head.framing, head.keep_alive), (Framing::Length(3), true));
    assert_eq!(&text[length..], "abc");
}

#[test]
fn parse_request_cut_anywhere() {
    let text = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
    for end in 0..text.len() {
        assert_eq!(request(&text[..end]), Ok(None), "cut at {end}");
    }
}

#[test]
fn parse_request_ambiguous_length() {
    let heads = [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length: ",
    ];
    for head in heads {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\n");
        assert!(request(&text).is_err(), "{head}");
    }
}

#[test]
fn parse_request_host() {
    assert!(request("GET / HTTP/1.1\r\n\r\n").is_err());
    assert!(request("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n").is_err());
    assert!(request("GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n").is_err());
}

#[test]
fn parse_response_framing() {
    let framing = |head: &str| {
        let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n");
        let parsed = Response::parse(text.as_bytes(), false);
        parsed.expect("well-formed").expect("complete").0
    };
    assert_eq!(framing("Content-Length: 7\r\n").framing, Framing::Length(7));
    assert_eq!(framing("Transfer-Encoding: chunked\r\n").framing, Framing::Chunked);
    let unframed = framing("");
    assert_eq!((unframed.framing, unframed.keep_alive), (Framing::UntilClose, false));
    assert!(!framing("Content-Length: 7\r\nConnection: close\r\n").keep_alive);
}

#[test]
fn end_to_end_drops_hop_by_hop() {
    let mut fields = Fields::default();
    for (name, value) in [
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Keep-Alive", "timeout=5"),
        ("X-Kept", "2"),
    ] {
        fields.push(name, value);
    }
    assert_eq!(fields.end_to_end().collect::<Vec<_>>(), [("X-Kept", "2")]);
}

#[test]
fn get_repeated_field_is_no_value() {
    let mut fields = Fields::default();
    fields.push("X-A", "1");
    fields.push("x-a", "2");
    assert_eq!(fields.get("X-A"), None);
}

#[test]
fn decode_malformed_chunks() {
    let malformed = [
        "x\r\n",
        "3\r\nabcd\r\n",
        "-1\r\n",
        "ffffffffffffffffff\r\n",
        // A line without a size is not the last chunk.
        "\r\n",
        "\r\n\r\n",
        "1\r\na\r\n\r\n\r\n",
        ";x=y\r\n",
        " 0\r\n",
    ];
    for body in malformed {
        let mut decoder = Decoder::new(Framing::Chunked);
        assert!(decoder.decode(body.as_bytes(), &mut Vec::new()).is_err(), "{body:?}");
    }
}

#[test]
fn decode_trailers_end_the_body() {
    let mut decoder = Decoder::new(Framing::Chunked);
    let mut output = Vec::new();
    let body = b"1;x=y\r\na\r\n0\r\nX-T: 1\r\n\r\nrest";
    let used = decoder.decode(body, &mut output).expect("well-formed");
    assert_eq!((&body[used..], output.as_slice()), (&b"rest"[..], &b"a"[..]));
    assert!(decoder.is_complete());
}

/// Decodes `wire` in pieces that end at `cuts`. Returns the body, the bytes left over and whether the body is complete.
fn decode_in_pieces(framing: Framing, wire: &[u8], cuts: &[usize]) -> (Vec<u8>, Vec<u8>, bool) {
    let mut decoder = Decoder::new(framing);
    let (mut output, mut remaining) = (Vec::new(), Vec::new());
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (wire.len() + 1)).collect();
    ends.push(wire.len());
    ends.sort_unstable();
    let mut start = 0;
    for end in ends {
        remaining.extend_from_slice(&wire[start..end]);
        start = end;
        let used = decoder.decode(&remaining, &mut output).expect("well-formed");
        remaining.drain(..used);
    }
    (output, remaining, decoder.is_complete())
}

quickcheck::quickcheck! {
    fn decode_chunks_in_any_pieces(chunks: Vec<Vec<u8>>, cuts: Vec<usize>) -> bool {
        let mut wire = Vec::new();
        for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
            wire.extend_from_slice(format!("{:X}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\n\r\nnext");
        let (output, rest, complete) = decode_in_pieces(Framing::Chunked, &wire, &cuts);
        output == chunks.concat() && rest == b"next" && complete
    }

    fn decode_length_in_any_pieces(body: Vec<u8>, cuts: Vec<usize>) -> bool {
        let wire = [body.as_slice(), b"next"].concat();
        let framing = Framing::Length(body.len() as u64);
        let (output, rest, complete) = decode_in_pieces(framing, &wire, &cuts);
        output == body && rest == b"next" && complete
    }

    fn parse_any_bytes(bytes: Vec<u8>) -> bool {
        // No parser may panic on any input.
        let request = Request::parse(&bytes);
        let response = Response::parse(&bytes, false);
        let chunks = Decoder::new(Framing::Chunked).decode(&bytes, &mut Vec::new());
        request.is_err() || response.is_err() || chunks.is_err() || bytes.len() < usize::MAX
    }

    fn feed_events_in_any_pieces(count: u8, cuts: Vec<usize>) -> bool {
        let wire: String =
            (1..=count).map(|id| format!("id: {id}\r\ndata: {id}\r\n\r\n")).collect();
        let wire = wire.into_bytes();
        let mut events = Events::default();
        let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (wire.len() + 1)).collect();
        ends.push(wire.len());
        ends.sort_unstable();
        let (mut output, mut start) = (Vec::new(), 0);
        for end in ends {
            output.extend(events.feed(&wire[start..end]));
            start = end;
        }
        output == wire && events.take_partial().is_empty()
            && events.last_id() == (count > 0).then_some(u64::from(count))
    }
}

#[test]
fn feed_resumed_stream_drops_repeated_events() {
    let mut events = Events::default();
    assert_eq!(events.feed(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n");
    // The server disconnected within the second event; another one resumes after the first.
    events.begin_answer();
    let resumed = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!(events.feed(resumed), b"id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some(2));
}

#[test]
fn after_caller_has_some_events() {
    let mut events = Events::after(Some(4));
    assert_eq!(events.feed(b"id: 4\n\nid: 5\n\n"), b"id: 5\n\n");
}

quickcheck::quickcheck! {
    /// A mutated head is rejected or parses to one request without line breaks in its parts.
    fn parse_mutated_heads_hide_no_second_request(changes: Vec<(usize, u8)>, inserts: Vec<(usize, u8)>) -> bool {
        let text = "POST /a/b?c=1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 7\r\n\
                    Content-Length: 3\r\nConnection: keep-alive\r\n\r\nabc";
        let mut bytes = text.as_bytes().to_vec();
        for (at, byte) in changes.into_iter().take(4) {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        for (at, byte) in inserts.into_iter().take(4) {
            let at = at % bytes.len();
            bytes.insert(at, [b'\r', b'\n', b':', b' ', 0, byte][usize::from(byte) % 6]);
        }
        let Ok(Some((head, length))) = Request::parse(&bytes) else { return true };
        let clean = |text: &str| !text.contains(['\r', '\n', '\0']);
        let fields = head.fields.iter().all(|(name, value)| {
            clean(name) && clean(value) && !name.contains([' ', ':']) && !name.is_empty()
        });
        let framed = head.fields.all("content-length").count()
            + head.fields.all("transfer-encoding").count() <= 1;
        fields && framed && clean(&head.target) && !head.target.contains(' ') && length <= bytes.len()
    }
}

/// A stopping server accepts a probe and resets it before it stops listening. If a reset counts as silence, only the
/// store can confirm the crash, so a crash while the store is down is ignored.
///
/// ```text
/// 06.995 400 AttemptFailed r-3 no whole answer came: its connection ended server=x-1
/// 07.400 400 AttemptFailed r-4 it could not be connected to server=x-1
/// ```
#[test]
fn probe_reset_by_stopping_server_is_not_silent() {
    let listener =
        std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let mut probe = Box::pin(probe(address));
    let first = futures_lite::future::block_on(futures_lite::future::poll_once(&mut probe));
    assert_eq!(first, None, "the probe is in progress");
    drop(listener);
    let answer = futures_lite::future::block_on(probe);
    assert_ne!(answer, crate::poison::Answer::Silent);
}

#[test]
fn probe_path_needs_a_connection_that_stays_open() {
    let listener =
        std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener has an address");
    assert_eq!(async_io::block_on(probe_path(address)), Connect::Accepted);
    let closing = std::thread::spawn(move || {
        // The first connection is the one above.
        for stream in listener.incoming().take(2) {
            drop(stream);
        }
    });
    assert_eq!(async_io::block_on(probe_path(address)), Connect::Reset, "closed at once");
    closing.join().expect("the thread ends");
    assert_eq!(async_io::block_on(probe_path(address)), Connect::Failed, "nothing listens");
}
