//! Memory of bodies that are read at once.

use comfreyspread::transport::{body, http_body};
use comfreyspread_lab::process_usage;
use futures_util::future;
use rand::{Rng as _, SeedableRng as _, rngs};
use std::{io, pin, process, sync, task};

const BODY_LIMIT: usize = 16 * 1024 * 1024;
const BUDGET_BYTES: usize = 2 * BODY_LIMIT;
const BODIES: u64 = 16;
const ROUNDS: u64 = 12;
const CHUNK_BYTES: usize = 16 * 1024;
/// Memory beyond the budget: a chunk and a part of a block of each body.
const MARGIN_KIB: u64 = 8 * 1024;

/// Body without end, whose chunks arrive now and then.
struct EndlessSource {
    random: rngs::StdRng,
}

impl http_body::ChunkSource for EndlessSource {
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        if self.random.random_ratio(1, 4) {
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        let length = self.random.random_range(1..=CHUNK_BYTES);
        task::Poll::Ready(Some(Ok(vec![b'x'; length].into())))
    }
}

async fn read_endless(budget: sync::Arc<body::BodyBudget>, seed: u64) {
    let source = EndlessSource { random: rngs::StdRng::seed_from_u64(seed) };
    let mut endless = http_body::MessageBody::from_source(source, None);
    let mut reservation = body::BodyReservation::new(budget);
    let read = body::read_to_end(&mut endless, BODY_LIMIT, &mut reservation).await;
    assert!(matches!(read, Err(body::BodyError::Busy | body::BodyError::TooLarge)), "{read:?}");
}

fn peak_memory_kib() -> u64 {
    process_usage::ProcessUsage::new(process::id()).expect("this process").peak_memory_kb
}

/// Buffers that doubled were copied, and left gaps in the heap of the sizes that they had had: many
/// endless bodies at once took twice the budget that they were charged to.
#[test]
fn budget_kept() {
    let before = peak_memory_kib();
    let budget = sync::Arc::new(body::BodyBudget::new(BUDGET_BYTES));
    for round in 0..ROUNDS {
        let bodies = (0..BODIES).map(|body| read_endless(budget.clone(), round * BODIES + body));
        async_io::block_on(future::join_all(bodies));
        assert_eq!(budget.used(), 0);
    }
    let used = peak_memory_kib() - before;
    let allowed = BUDGET_BYTES as u64 / 1024 + MARGIN_KIB;
    assert!(used < allowed, "{used} KiB, {allowed} allowed");
}
