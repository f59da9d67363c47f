// Command docscheck runs the shell blocks of the given Markdown pages that are
// marked as runnable (```sh runnable), in order, and stops at the first block
// that fails.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/yuin/goldmark"
	"github.com/yuin/goldmark/ast"
	"github.com/yuin/goldmark/text"
)

const marker = "sh runnable"

var errNoBlocks = errors.New("the given pages have no runnable block")

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "docscheck:", err)
		os.Exit(1)
	}
}

func run(pages []string) error {
	total := 0
	for _, page := range pages {
		raw, err := os.ReadFile(page)
		if err != nil {
			return err
		}
		blocks := runnable(raw)
		for i, block := range blocks {
			fmt.Printf("== %s, block %d of %d\n%s", page, i+1, len(blocks), block)
			if err := execute(block); err != nil {
				return fmt.Errorf("%s, block %d: %w", page, i+1, err)
			}
		}
		total += len(blocks)
	}
	if total == 0 {
		return errNoBlocks
	}
	fmt.Printf("ran %d blocks of %d pages\n", total, len(pages))
	return nil
}

// runnable returns the contents of the marked blocks of a page, in order.
func runnable(raw []byte) []string {
	var blocks []string
	root := goldmark.DefaultParser().Parse(text.NewReader(raw))
	// The walk function never fails.
	_ = ast.Walk(root, func(n ast.Node, entering bool) (ast.WalkStatus, error) {
		fence, ok := n.(*ast.FencedCodeBlock)
		if !ok || !entering || fence.Info == nil {
			return ast.WalkContinue, nil
		}
		if string(fence.Info.Segment.Value(raw)) == marker {
			blocks = append(blocks, content(fence, raw))
		}
		return ast.WalkContinue, nil
	})
	return blocks
}

func content(fence *ast.FencedCodeBlock, raw []byte) string {
	var b strings.Builder
	for i := range fence.Lines().Len() {
		line := fence.Lines().At(i)
		b.Write(line.Value(raw))
	}
	return b.String()
}

func execute(block string) error {
	cmd := exec.Command("sh", "-eu")
	cmd.Stdin = strings.NewReader(block)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return cmd.Run()
}
