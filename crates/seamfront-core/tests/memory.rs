//! Memory that one controller holds for jobs with many dependencies, in bytes as the allocator counts them.

use peak_alloc::PeakAlloc;
use seamfront_core::types::Micros;
use seamfront_testing::engine_harness::{store_pipeline, EngineHarness};
use seamfront_testing::shard_harness::settings;
use seamfront_testing::store::Store;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Entries in one page of the store, as its protocol limits them.
const PAGE: usize = 1_000;
const STAGES: usize = 6;
const WIDTH: usize = 150;
/// An entry in the set of a job's dependencies and one in the set of a job's dependents, 32 bytes each, in trees whose
/// nodes are half full.
const MAX_BYTES_PER_DEPENDENCY: usize = 2 * 2 * 32;

/// Guards against copies of the lists that users have submitted (`docs/incidents/urgency-along-every-path.md`): a list is
/// kept once, as the edges of the graph, and is not copied when the urgency of its job changes.
#[test]
fn a_controller_keeps_two_entries_for_each_pending_dependency() {
    let mut store = Store::with_page_size(PAGE);
    let dependencies = store_pipeline(&mut store, STAGES, WIDTH);
    let before = ALLOCATOR.current_usage();
    let mut harness = EngineHarness::new(settings(), store);
    ALLOCATOR.reset_peak_usage();
    harness.run(Micros::from_secs(3));
    let held = (ALLOCATOR.current_usage() - before) / dependencies;
    let peak = (ALLOCATOR.peak_usage() - before) / dependencies;
    println!("{dependencies} dependencies: {held} bytes for each, {peak} at the peak");
    assert!(
        peak.max(held) <= MAX_BYTES_PER_DEPENDENCY,
        "{held} bytes for each dependency, {peak} at the peak"
    );
}
