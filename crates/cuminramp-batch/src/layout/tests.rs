use proptest::prelude::*;

use super::ChunkLayout;

proptest! {
    #[test]
    fn chunks_cover_the_file_without_gap_or_overlap(text in "[a\n]{0,300}", min_items in 1..9u32) {
        let layout = ChunkLayout::split(&text, min_items, min_items + 5);

        let items: u32 = layout.chunks.iter().map(|range| range.items).sum();
        prop_assert_eq!(items, layout.items);
        prop_assert!(layout.chunks.windows(2).all(|pair| pair[0].end == pair[1].start));
        for range in &layout.chunks {
            let part = &text[range.start as usize..range.end as usize];
            let lines = part.lines().filter(|line| !line.trim().is_empty()).count();
            prop_assert_eq!(lines as u32, range.items);
            let before = text[..range.start as usize].matches('\n').count() as u32;
            prop_assert_eq!(before + 1, range.first_line);
        }
    }
}
