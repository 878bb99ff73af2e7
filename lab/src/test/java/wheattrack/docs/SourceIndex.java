package wheattrack.docs;

import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.MethodTree;
import com.sun.source.tree.Tree;
import com.sun.source.tree.VariableTree;
import com.sun.source.util.JavacTask;
import com.sun.source.util.TreeScanner;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileObject;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/**
 * The types that the sources declare and the members of each, read by the compiler's own parser.
 */
final class SourceIndex {
  /**
   * A declared type; the name of a nested type includes the enclosing ones ({@code Outer.Inner}).
   */
  private record SourceType(
      String packageName, String name, Set<String> members, List<String> supertypes) {

    /**
     * Whether a name from a page refers to this type; it may include any trailing part of the
     * package.
     */
    boolean isNamed(String pageName) {
      return ("." + packageName + "." + name).endsWith("." + pageName);
    }

    String simpleName() {
      return name.substring(name.lastIndexOf('.') + 1);
    }
  }

  private final List<SourceType> types = new ArrayList<>();

  private SourceIndex() {}

  static SourceIndex of(List<Path> sources) {
    SourceIndex index = new SourceIndex();
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, null)) {
      Iterable<? extends JavaFileObject> units = files.getJavaFileObjectsFromPaths(sources);
      JavacTask task = (JavacTask) compiler.getTask(null, files, null, null, null, units);
      for (CompilationUnitTree unit : task.parse()) {
        index.add(unit);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return index;
  }

  /** Whether a type has this name: {@code Type}, {@code Outer.Inner} or {@code package.Type}. */
  boolean hasType(String name) {
    return types.stream().anyMatch(type -> type.isNamed(name));
  }

  /** Whether a type of this name declares or inherits the member: a method, field or constant. */
  boolean hasMember(String typeName, String member) {
    return types.stream()
        .filter(type -> type.isNamed(typeName))
        .anyMatch(type -> hasMember(type, member, new HashSet<>()));
  }

  /** Whether any type declares a member of this name. */
  boolean hasMemberAnywhere(String member) {
    return types.stream().anyMatch(type -> type.members().contains(member));
  }

  private boolean hasMember(SourceType type, String member, Set<SourceType> visited) {
    if (!visited.add(type)) {
      return false;
    }
    if (type.members().contains(member)) {
      return true;
    }
    return types.stream()
        .filter(other -> type.supertypes().contains(other.simpleName()))
        .anyMatch(other -> hasMember(other, member, visited));
  }

  private void add(CompilationUnitTree unit) {
    String packageName = unit.getPackageName() == null ? "" : unit.getPackageName().toString();
    for (Tree declaration : unit.getTypeDecls()) {
      declaration.accept(new TypeCollector(packageName), "");
    }
  }

  /**
   * Adds each type of a compilation unit. The scanner's parameter is the name of the enclosing type
   * and a dot, or empty.
   */
  private final class TypeCollector extends TreeScanner<Void, String> {
    private final String packageName;

    TypeCollector(String packageName) {
      this.packageName = packageName;
    }

    @Override
    public Void visitClass(ClassTree type, String enclosing) {
      String name = enclosing + type.getSimpleName();
      if (!type.getSimpleName().isEmpty()) {
        types.add(new SourceType(packageName, name, members(type), supertypes(type)));
      }
      return super.visitClass(type, name + ".");
    }

    private static Set<String> members(ClassTree type) {
      Set<String> members = new LinkedHashSet<>();
      for (Tree member : type.getMembers()) {
        if (member instanceof MethodTree method) {
          members.add(method.getName().toString());
        } else if (member instanceof VariableTree field) {
          members.add(field.getName().toString());
        }
      }
      return members;
    }

    private static List<String> supertypes(ClassTree type) {
      List<String> names = new ArrayList<>();
      if (type.getExtendsClause() != null) {
        names.add(simpleName(type.getExtendsClause()));
      }
      type.getImplementsClause().forEach(implemented -> names.add(simpleName(implemented)));
      return names;
    }

    private static String simpleName(Tree type) {
      String withoutArguments = type.toString().replaceAll("<.*", "");
      return withoutArguments.substring(withoutArguments.lastIndexOf('.') + 1);
    }
  }
}
