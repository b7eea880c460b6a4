// Package standin provides test doubles of external systems for tests,
// demonstrations and measurements: model engines, plain services, the
// platform and its store. Each supports fault injection.
//
// The model of an Engine makes execution errors visible in the answer. Each
// layer folds its input and the position into a running digest, and the
// generated tokens are derived from the digests. Skipping, repeating or
// reordering a layer, or passing it the activations of another request,
// changes the answer. ReferenceAnswer computes the expected answer.
package standin
