//! Compares `Ranges`, the compact set of task numbers, with an ordinary set.

use seamfront_core::ranges::RangeSet;
use std::collections::BTreeSet;

#[test]
fn ranges_behave_like_a_set_of_numbers() {
    let mut ranges = RangeSet::default();
    let mut set = BTreeSet::new();
    let mut random = 7u32;
    for _ in 0..2_000 {
        random = random.wrapping_mul(1_103_515_245).wrapping_add(12_345);
        let v = (random >> 16) % 300;
        assert_eq!(ranges.insert(v), set.insert(v));
        assert_eq!(ranges.count() as usize, set.len());
    }
    for v in 0..310 {
        assert_eq!(ranges.contains(v), set.contains(&v));
    }
    let spans: Vec<(u32, u32)> =
        serde_json::from_value(serde_json::to_value(&ranges).unwrap()).unwrap();
    assert!(spans.windows(2).all(|w| w[0].1 < w[1].0));
    assert_eq!(
        ranges.first_missing(),
        (0..=u32::MAX).find(|v| !set.contains(v)).unwrap()
    );
}
