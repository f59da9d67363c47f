// Package length estimates how many tokens a generation will have. The estimate is
// learned from earlier answers of the same organisation, model and route, with
// prompts of about the same size. It is a survival curve, so that it becomes more
// precise with each token that has been generated. All lengths are in tokens.
package length
