//! Matching of the answers on a connection to the request that was sent on it.
//!
//! A faulty server may send an answer again, also late, where the next one is due. An answer therefore counts only if it
//! names the request, and a connection carries a request once only, so that it names this attempt, too.

use async_io::Timer;
use futures_lite::FutureExt;

use super::delivery::Delivery;
use super::exchange::Exchange;
use super::{Answer, Classification, Cut, Response};
use crate::prelude::*;
use crate::telemetry::emit;

/// The server or peer that is to answer an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Responder<'a> {
    /// The number of the attempt.
    pub(super) attempt: u32,
    /// The id of the server or peer.
    pub(super) name: &'a str,
}

/// One item read from a connection while its answer is awaited.
enum Received {
    /// The head of an answer to this request.
    Own(Response, Classification),
    /// The head of an answer that does not name this request.
    Foreign(Response),
    /// Bytes that are no answer.
    Noise,
}

impl Delivery<'_> {
    /// Reads up to the head of the answer that names this request. What comes before it belongs to no request and is
    /// discarded; the own one is then awaited for half of the time that is left, so that another attempt has the other half.
    pub(super) async fn match_answer(
        &self,
        mut exchange: Exchange,
        responder: Responder<'_>,
    ) -> Result<(Answer, Classification), Cut> {
        let first = self.receive(&mut exchange, responder).await?;
        let expire = async {
            Timer::after(self.time_left() / 2).await;
            Err(Cut::Malformed("no answer names the request within the time limit".into()))
        };
        self.discard_until_own(exchange, first, responder).or(expire).await
    }

    async fn discard_until_own(
        &self,
        mut exchange: Exchange,
        first: Received,
        responder: Responder<'_>,
    ) -> Result<(Answer, Classification), Cut> {
        let mut received = first;
        loop {
            match received {
                Received::Own(response, class) => {
                    return Ok((exchange.into_answer(response), class));
                }
                Received::Foreign(response) => exchange.discard_answer(&response).await?,
                Received::Noise => exchange.discard_noise().await?,
            }
            received = self.receive(&mut exchange, responder).await?;
        }
    }

    /// Reads and classifies the next head.
    async fn receive(
        &self,
        exchange: &mut Exchange,
        responder: Responder<'_>,
    ) -> Result<Received, Cut> {
        let response = match exchange.read_head().await {
            Ok(response) => response,
            Err(Cut::Malformed(_)) if exchange.is_on_kept_connection() => {
                self.log_unusual("noise", None, exchange, responder);
                return Ok(Received::Noise);
            }
            Err(cut) => return Err(cut),
        };
        let class = self.frontend.dialect.classify(&self.metadata, &response);
        let judgement = match class {
            Classification::Answer(_) => return Ok(Received::Own(response, class)),
            Classification::Unconfirmed(_) => "unconfirmed",
            Classification::Refused(_) => "refused",
            Classification::Foreign => "foreign",
            Classification::Invalid => "invalid",
        };
        self.log_unusual(judgement, Some(&response), exchange, responder);
        Ok(match class {
            Classification::Foreign => Received::Foreign(response),
            _ => Received::Own(response, class),
        })
    }

    /// Logs and counts a refusal, an answer that is not this request's, or noise.
    fn log_unusual(
        &self,
        judgement: &'static str,
        response: Option<&Response>,
        exchange: &Exchange,
        responder: Responder<'_>,
    ) {
        self.frontend.metrics.count_judgement(judgement);
        let named = response.and_then(|response| self.frontend.dialect.named_request(response));
        let (connection, requests) = exchange.connection();
        let detail = Detail::of("request", self.metadata.id.as_str())
            .and("attempt", responder.attempt)
            .and("responder", responder.name)
            .and("judgement", judgement)
            .and_some("status", response.map(|response| u32::from(response.status)))
            .and_some("names", named)
            .and("connection", connection)
            .and("requests_on_connection", requests);
        emit(Event::AnswerJudged, detail);
    }
}
