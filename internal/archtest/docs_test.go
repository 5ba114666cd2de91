package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Every exported item outside tests and generated code has a doc comment: its own, or that of the group in which it is declared.
// Methods of unexported types, and those that only satisfy an interface of the standard library, need none.
func TestExportedItemsAreDocumented(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == "journal" || strings.HasPrefix(d.Name(), ".") && d.Name() != "..") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil || ast.IsGenerated(file) {
			return err
		}
		for _, decl := range file.Decls {
			for _, name := range undocumented(decl) {
				t.Errorf("%s: %s has no doc comment", files.Position(decl.Pos()), name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// undocumented lists the exported names of a declaration that have no doc comment.
func undocumented(decl ast.Decl) (names []string) {
	switch d := decl.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil && !hasUnexportedReceiver(d) && !standardMethods[d.Name.Name] {
			names = append(names, d.Name.Name)
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				if s.Name.IsExported() && d.Doc == nil && s.Doc == nil {
					names = append(names, s.Name.Name)
				}
			case *ast.ValueSpec:
				for _, n := range s.Names {
					if n.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
						names = append(names, n.Name)
					}
				}
			}
		}
	}
	return names
}

// standardMethods names methods that interfaces of the standard library document sufficiently.
var standardMethods = map[string]bool{
	"Error": true, "String": true, "Unwrap": true, "Len": true, "Less": true, "Swap": true, "Push": true, "Pop": true, "Write": true,
}

// hasUnexportedReceiver reports whether a function is a method of an unexported type.
func hasUnexportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return false
	}
	of := d.Recv.List[0].Type
	for {
		switch x := of.(type) {
		case *ast.StarExpr:
			of = x.X
		case *ast.IndexExpr:
			of = x.X
		case *ast.Ident:
			return !x.IsExported()
		default:
			return false
		}
	}
}
