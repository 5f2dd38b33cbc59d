//! The final phase of a planned stop: the process runs until it has answered every request that it has read.

use async_io::Timer;
use futures_lite::FutureExt;

use super::Frontend;
use crate::fleet::Message;
use crate::prelude::*;

/// Interval between checks for unanswered requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Share of the time limit in which requests are still admitted: the rest is left to answer them. Only requests whose head or
/// body takes that long come so late.
const ADMISSION_SHARE: f64 = 0.5;
/// Time before the limit at which the remaining requests are ended: enough to answer all of them on
/// a twentieth of a core.
const STOP_DEADLINE_MARGIN: Duration = Duration::from_millis(400);

/// Waits until every request of `frontend` is answered, for at most `time_limit`. From the middle of that on the control
/// thread refuses what arrives; shortly before the limit it ends the requests that still have a definite answer. Returns the
/// number of unanswered requests.
pub async fn drain(frontend: &Frontend, time_limit: Duration) -> usize {
    let answered = async {
        while frontend.unanswered() > 0 {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    let margin = time_limit.min(STOP_DEADLINE_MARGIN);
    let admission = time_limit.mul_f64(ADMISSION_SHARE).min(time_limit - margin);
    let expire = async {
        Timer::after(admission).await;
        frontend.control.tell(Message::StopAdmission);
        Timer::after(time_limit - margin - admission).await;
        frontend.control.tell(Message::StopDeadline);
        Timer::after(margin).await;
    };
    answered.or(expire).await;
    frontend.unanswered()
}
