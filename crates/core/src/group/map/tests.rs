use super::*;

// Guards against a change that loses or adds layers on its way to a rank.
#[test]
fn change_between_maps_gives_the_other_map() {
    let first = ExpertMap::initial(4, 3, 8);
    let mut layers = first.layers.clone();
    layers[1].ranks.swap(0, 3);
    let change = first.change_to(&layers);
    assert_eq!(change.layers.keys().copied().collect::<Vec<_>>(), vec![1]);
    assert_eq!(first.with_change(MapId::default(), &change).layers, layers);
}

// Guards against experts without a rank when the number of experts isn't a multiple of the ranks.
#[test]
fn initial_map_places_each_expert_once() {
    let map = ExpertMap::initial(3, 1, 8);
    let held: Vec<_> = (0..3).flat_map(|r| map.weights(r)).collect();
    assert_eq!(held, (0..8).map(|e| (0, e)).collect::<Vec<_>>());
}
