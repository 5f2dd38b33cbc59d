//! The final phase of a planned stop: the process runs until it has answered every request that it has read.

use async_io::Timer;
use futures_lite::FutureExt;

use super::Frontend;
use crate::fleet::Message;
use crate::prelude::*;

/// Interval between checks for unanswered requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the limit at which the remaining requests are ended: enough to answer all of them on
/// a twentieth of a core.
const STOP_DEADLINE_MARGIN: Duration = Duration::from_millis(400);

/// Waits until every request of `frontend` is answered, for at most `time_limit`. Shortly before the limit, the control
/// thread ends the requests that still have a definite answer. Returns the number of unanswered requests.
pub async fn drain(frontend: &Frontend, time_limit: Duration) -> usize {
    let answered = async {
        while frontend.unanswered() > 0 {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    let expire = async {
        Timer::after(time_limit.saturating_sub(STOP_DEADLINE_MARGIN)).await;
        frontend.control.tell(Message::StopDeadline);
        Timer::after(time_limit.min(STOP_DEADLINE_MARGIN)).await;
    };
    answered.or(expire).await;
    frontend.unanswered()
}
