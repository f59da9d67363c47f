// Command generate writes the Go code for .proto files. It compiles them with a
// library and passes the result to the plugins in the format of protoc, so that
// protoc need not be installed.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/pluginpb"
)

// parameter makes the plugins place each output next to its source.
const parameter = "paths=source_relative"

// filePerm is the file mode of the generated sources.
const filePerm = 0o644

var errUsage = errors.New("usage: generate PLUGIN[,PLUGIN] FILE.proto [FILE.proto]")

func main() {
	if err := run(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	plugins, sources := bytes.Split([]byte(args[0]), []byte(",")), args[1:]
	request, err := compile(ctx, sources)
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		if err := generate(ctx, string(plugin), request); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// compile returns the encoded code generation request for the plugins. The
// sources have no imports.
func compile(ctx context.Context, sources []string) ([]byte, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(ctx, sources...)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(requestOf(files, sources))
}

func requestOf(files linker.Files, sources []string) *pluginpb.CodeGeneratorRequest {
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: sources, Parameter: proto.String(parameter)}
	for _, file := range files {
		request.ProtoFile = append(request.ProtoFile, protodesc.ToFileDescriptorProto(file))
	}
	return request
}

// generate runs one plugin and writes the files of its response.
func generate(ctx context.Context, plugin string, request []byte) error {
	command := exec.CommandContext(ctx, plugin)
	command.Stdin, command.Stderr = bytes.NewReader(request), os.Stderr
	raw, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(raw, &response); err != nil {
		return err
	}
	if response.GetError() != "" {
		return errors.New(response.GetError())
	}
	for _, file := range response.GetFile() {
		if err := os.WriteFile(file.GetName(), []byte(file.GetContent()), filePerm); err != nil {
			return err
		}
	}
	return nil
}
