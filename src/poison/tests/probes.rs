//! Probes that are late, get no response, or follow another broken connection.

use super::*;

/// Records a broken connection at 1,000 ms and returns the detector.
fn detector_with_disconnect() -> Detector {
    let mut detector = Detector::default();
    detector.record_disconnect(ms(1_000), endpoint(Some(1)), disconnect(FATAL));
    detector
}

/// Whether a crash counts by probes alone, as while the store is down: the port is closed from now
/// on, and all probes that are due until 5,000 ms are answered after 1 ms.
fn counts_by_probes(detector: &mut Detector, from: u64) -> bool {
    let incarnation = endpoint(Some(1)).incarnation;
    (from..5_000).step_by(20).any(|at| {
        detector.due_probes(ms(at)).iter().any(|_| {
            let steps = detector.record_probe(ms(at + 1), incarnation, Answer::Refused);
            !steps.interruptions.is_empty()
        })
    })
}

#[test]
fn record_probe_timed_out_still_counts_the_crash() {
    let mut detector = detector_with_disconnect();
    detector.record_probe(ms(1_400), endpoint(Some(1)).incarnation, Answer::Silent);
    assert!(counts_by_probes(&mut detector, 1_420));
}

#[test]
fn record_probe_second_timed_out_still_counts_the_crash() {
    let mut detector = detector_with_disconnect();
    detector.record_probe(ms(1_001), endpoint(Some(1)).incarnation, Answer::Refused);
    assert_eq!(detector.due_probes(ms(1_080)).len(), 1);
    detector.record_probe(ms(1_480), endpoint(Some(1)).incarnation, Answer::Silent);
    assert!(counts_by_probes(&mut detector, 1_500));
}

#[test]
fn record_probe_accepted_late_still_counts_the_crash() {
    let mut detector = detector_with_disconnect();
    detector.record_probe(ms(1_310), endpoint(Some(1)).incarnation, Answer::Accepted);
    assert!(counts_by_probes(&mut detector, 1_320));
}

#[test]
fn due_probes_late_tick_still_counts_the_crash() {
    let mut detector = detector_with_disconnect();
    detector.record_probe(ms(1_001), endpoint(Some(1)).incarnation, Answer::Accepted);
    assert!(counts_by_probes(&mut detector, 1_310));
}

#[test]
fn due_probes_port_closed_after_400_ms_still_counts_the_crash() {
    let mut detector = detector_with_disconnect();
    let incarnation = endpoint(Some(1)).incarnation;
    detector.record_probe(ms(1_001), incarnation, Answer::Accepted);
    for at in (1_020..1_400).step_by(20) {
        for _ in detector.due_probes(ms(at)) {
            detector.record_probe(ms(at + 1), incarnation, Answer::Accepted);
        }
    }
    assert!(counts_by_probes(&mut detector, 1_400));
}

/// A live server drops one connection and crashes 280 ms later, when its check is nearly over.
#[test]
fn record_disconnect_during_an_older_check_still_counts_the_crash() {
    let mut detector = detector_with_disconnect();
    let incarnation = endpoint(Some(1)).incarnation;
    detector.record_probe(ms(1_001), incarnation, Answer::Accepted);
    for at in (1_020..1_280).step_by(20) {
        for _ in detector.due_probes(ms(at)) {
            detector.record_probe(ms(at + 1), incarnation, Answer::Accepted);
        }
    }
    detector.record_disconnect(ms(1_280), endpoint(Some(1)), disconnect(BYSTANDER));
    assert!(counts_by_probes(&mut detector, 1_300));
}

/// A live server drops one connection and crashes two seconds later.
#[test]
fn record_disconnect_while_unconfirmed_still_counts_the_crash() {
    let mut detector = detector_with_disconnect();
    let incarnation = endpoint(Some(1)).incarnation;
    detector.record_probe(ms(1_001), incarnation, Answer::Accepted);
    for at in (1_020..3_000).step_by(20) {
        for _ in detector.due_probes(ms(at)) {
            detector.record_probe(ms(at + 1), incarnation, Answer::Accepted);
        }
    }
    let steps = detector.record_disconnect(ms(3_000), endpoint(Some(1)), disconnect(BYSTANDER));
    for _ in steps.probes {
        detector.record_probe(ms(3_001), incarnation, Answer::Refused);
    }
    assert!(counts_by_probes(&mut detector, 3_020));
}
