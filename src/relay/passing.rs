//! Answers that are forwarded whole: held until they are complete, or passed on as they come where there is no memory.

use std::net::TcpStream;

use async_io::Async;
use futures_lite::AsyncWriteExt;

use super::answer::{encode_answer_head, encode_stream_head, write_answer};
use super::delivery::{Attempt, Delivery, MAX_ANSWER_BYTES, Outcome};
use super::{Answer, Cut, Framing, Response};
use crate::fleet::{Dispatch, Report};
use crate::memory::Holding;

/// A complete answer that is held.
pub(super) struct Held {
    pub(super) response: Response,
    pub(super) body: Vec<u8>,
    /// The memory of the body.
    pub(super) _holding: Holding,
}

/// What was read of a body.
pub(super) enum Body {
    /// All of it.
    Whole(Vec<u8>),
    /// Its begin: there is no memory for more.
    Part(Vec<u8>),
}

/// End of an answer that was passed on as it came.
pub(super) enum Passed {
    /// The caller has all of it.
    Whole,
    /// The answer was cut, and so is the caller's.
    Cut,
    /// Writing to the caller failed.
    CallerDisconnected,
}

impl Held {
    /// Reads the body of an answer for as long as there is memory for it.
    pub(super) async fn read(answer: &mut Answer, holding: &Holding) -> Result<Body, Cut> {
        let mut body = Vec::new();
        while answer.read(&mut body).await? {
            if body.len() > MAX_ANSWER_BYTES {
                return Err(Cut::TooLarge);
            }
            if holding.set(body.capacity()).is_err() {
                return Ok(Body::Part(body));
            }
        }
        Ok(Body::Whole(body))
    }
}

impl Delivery<'_> {
    /// Buffers an answer and forwards it once it is complete; a truncated one is not forwarded. One for which there is no
    /// memory is forwarded as it comes.
    pub(super) async fn relay_whole(
        &self,
        writer: &Async<TcpStream>,
        dispatch: &Dispatch,
        mut answer: Answer,
        weights: Option<u64>,
    ) -> Attempt {
        // A stream has begun once its caller has an event; an error brings none.
        if !self.route.is_streaming {
            self.send_report(dispatch, Report::Begun(weights));
        }
        let holding = self.frontend.account.begin();
        let is_failure = answer.response.status >= 500;
        let body = match Held::read(&mut answer, &holding).await {
            Ok(Body::Whole(body)) => body,
            Ok(Body::Part(part)) if !is_failure => {
                return match self.pass_on(writer, &mut answer, part).await {
                    Passed::Whole => {
                        answer.release(&self.frontend.pool, dispatch.max_idle);
                        Attempt::Ended(Outcome::Answered)
                    }
                    Passed::Cut => Attempt::Ended(Outcome::Truncated),
                    Passed::CallerDisconnected => Attempt::CallerDisconnected,
                };
            }
            Ok(Body::Part(_)) => return self.answer_cut(dispatch, &answer, None, &Cut::Full),
            Err(cut) => return self.answer_cut(dispatch, &answer, None, &cut),
        };
        let response = answer.response.clone();
        answer.release(&self.frontend.pool, dispatch.max_idle);
        if is_failure {
            return Attempt::Failed(Box::new(Held { response, body, _holding: holding }));
        }
        let close = self.frontend.control.is_draining();
        self.progress.record_write(self.frontend.control.clock.now());
        match write_answer(writer, &response, &body, close).await {
            Ok(()) => Attempt::Ended(Outcome::Answered),
            Err(_) => Attempt::CallerDisconnected,
        }
    }

    /// Passes on an answer of which `part` was read, a piece at a time. One that is cut is not made to look complete: it
    /// lacks bytes of its length, or its last chunk.
    pub(super) async fn pass_on(
        &self,
        mut writer: &Async<TcpStream>,
        answer: &mut Answer,
        part: Vec<u8>,
    ) -> Passed {
        let close = self.frontend.control.is_draining();
        self.progress.record_write(self.frontend.control.clock.now());
        let length = match answer.response.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        };
        let head = match length {
            Some(length) => encode_answer_head(&answer.response, length, close),
            None => encode_stream_head(&answer.response, close),
        };
        if writer.write_all(head.as_bytes()).await.is_err() {
            return Passed::CallerDisconnected;
        }
        let mut piece = part;
        loop {
            let written = match length {
                Some(_) => writer.write_all(&piece).await,
                None => write_chunk(writer, &piece).await,
            };
            if written.is_err() {
                return Passed::CallerDisconnected;
            }
            piece = Vec::new();
            match answer.read(&mut piece).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => return Passed::Cut,
            }
        }
        let end: &[u8] = if length.is_some() { b"" } else { b"0\r\n\r\n" };
        match writer.write_all(end).await {
            Ok(()) => Passed::Whole,
            Err(_) => Passed::CallerDisconnected,
        }
    }
}

/// Writes one chunk, whose data are not copied.
async fn write_chunk(mut writer: &Async<TcpStream>, data: &[u8]) -> std::io::Result<()> {
    if data.is_empty() {
        return Ok(());
    }
    writer.write_all(format!("{:x}\r\n", data.len()).as_bytes()).await?;
    writer.write_all(data).await?;
    writer.write_all(b"\r\n").await
}
