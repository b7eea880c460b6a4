// Package forecast predicts the time from sending a request to the first event of its answer, over
// a chain of engines and from what is known of each of them.
//
//	ms := forecast.FirstEvent(pipeline.Pass(), promptTokens, stages)
//
// Each engine reads prompts in passes that read a bounded number of tokens. An engine passes on what
// it has read after each pass, so the next stage begins with a long prompt while the one before
// reads its rest. Once the last stage has read all of it, one further pass over all stages generates
// the first event. The other streams in the batch lengthen that pass, but not the reading.
//
// The prompts that wait at an engine are read while the request is still at the stages before it.
// They delay the request only as far as they last longer than that. A sum over the stages would
// count a stream once for each engine that it shares with the request.
package forecast
