//! Tests of the queue (classes, shares, limits, deadlines) and of the retry budget.

use quickcheck::quickcheck;

use super::*;
use crate::attempt::Key;
use crate::prelude::*;

fn entry(number: u64, priority: Priority, workspace: &str, share: u32) -> Entry {
    Entry {
        request: Key(number),
        priority,
        workspace: workspace.into(),
        share,
        cost: 100,
        deadline: Duration::from_secs(number),
        is_retry: false,
    }
}

fn dequeue_next(queue: &mut Queue) -> Option<Entry> {
    let request = queue.iter().next()?.request;
    queue.dequeue(request)
}

#[test]
fn push_urgent_before_background() {
    let mut queue = Queue::default();
    for (number, priority) in
        [Priority::Background, Priority::Normal, Priority::Urgent].into_iter().enumerate()
    {
        queue
            .push(entry(number as u64, priority, "w", 1), 10)
            .expect("the queue is below its limit");
    }
    let order: Vec<u64> =
        std::iter::from_fn(|| dequeue_next(&mut queue)).map(|e| e.request.0).collect();
    assert_eq!(order, [2, 1, 0]);
}

#[test]
fn push_full_displaces_lower_class_only() {
    let mut queue = Queue::default();
    queue.push(entry(1, Priority::Background, "w", 1), 2).expect("the queue is below its limit");
    queue.push(entry(2, Priority::Normal, "w", 1), 2).expect("the queue is below its limit");
    assert_eq!(queue.push(entry(3, Priority::Normal, "w", 1), 2), Ok(Some(Key(1))));
    assert_eq!(queue.push(entry(4, Priority::Normal, "w", 1), 2), Err(Full));
    assert_eq!(queue.len(), 2);
}

#[test]
fn dequeue_shares_by_workspace() {
    let mut queue = Queue::default();
    for number in 0..300 {
        let (workspace, share) = if number % 2 == 0 { ("big", 3) } else { ("small", 1) };
        queue
            .push(entry(number, Priority::Normal, workspace, share), 1_000)
            .expect("the queue is below its limit");
    }
    let served: Vec<String> =
        (0..80).filter_map(|_| dequeue_next(&mut queue)).map(|e| e.workspace).collect();
    let big = served.iter().filter(|workspace| *workspace == "big").count();
    assert!((58..=62).contains(&big), "{big} of 80 went to a share of 3 in 4");
}

#[test]
fn dequeue_no_credit_for_idle_workspace() {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue
            .push(entry(number, Priority::Normal, "busy", 1), 1_000)
            .expect("the queue is below its limit");
    }
    for _ in 0..50 {
        dequeue_next(&mut queue);
    }
    for number in 100..150 {
        queue
            .push(entry(number, Priority::Normal, "late", 1), 1_000)
            .expect("the queue is below its limit");
    }
    let served: Vec<String> =
        (0..20).filter_map(|_| dequeue_next(&mut queue)).map(|e| e.workspace).collect();
    let late = served.iter().filter(|workspace| *workspace == "late").count();
    assert!((9..=11).contains(&late), "{late} of 20");
}

#[test]
fn dequeue_retry_before_new() {
    let mut queue = Queue::default();
    for number in 0..5 {
        queue
            .push(entry(number, Priority::Normal, "w", 1), 10)
            .expect("the queue is below its limit");
    }
    dequeue_next(&mut queue);
    queue
        .push(Entry { is_retry: true, ..entry(9, Priority::Normal, "w", 1) }, 10)
        .expect("the queue is below its limit");
    assert_eq!(dequeue_next(&mut queue).map(|e| e.request), Some(Key(9)));
}

#[test]
fn expire_removes_due_requests() {
    let mut queue = Queue::default();
    for number in 1..=5 {
        queue
            .push(entry(number, Priority::Normal, "w", 1), 10)
            .expect("the queue is below its limit");
    }
    assert_eq!(queue.expire(Duration::from_secs(3)), [Key(1), Key(2), Key(3)]);
    assert_eq!(queue.len(), 2);
}

#[test]
fn try_withdraw_a_tenth_of_requests() {
    let mut budget = Budget::default();
    while budget.try_withdraw() {}
    for _ in 0..100 {
        budget.deposit();
    }
    let spent = std::iter::from_fn(|| budget.try_withdraw().then_some(())).count();
    assert!((9..=10).contains(&spent), "{spent}");
}

quickcheck! {
    fn queue_indexes_agree(steps: Vec<(u8, u8)>) -> bool {
        let mut queue = Queue::default();
        let mut expected: BTreeSet<Key> = BTreeSet::new();
        for (number, (kind, choice)) in steps.iter().enumerate() {
            let key = Key(number as u64);
            match kind % 4 {
                0 | 1 => {
                    let priority = Priority::ALL[usize::from(choice % 3)];
                    let entry = entry(key.0, priority, &choice.to_string(), 1);
                    if let Ok(displaced) = queue.push(entry, 8) {
                        expected.insert(key);
                        displaced.map(|displaced| expected.remove(&displaced));
                    }
                }
                2 => {
                    if let Some(entry) = dequeue_next(&mut queue) {
                        expected.remove(&entry.request);
                    }
                }
                _ => {
                    let due = Duration::from_secs(u64::from(*choice));
                    for expired in queue.expire(due) {
                        expected.remove(&expired);
                    }
                }
            }
            let listed: BTreeSet<Key> = queue.iter().map(|entry| entry.request).collect();
            if listed != expected || queue.len() != expected.len() {
                return false;
            }
        }
        true
    }
}
